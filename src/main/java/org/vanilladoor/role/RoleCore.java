package org.vanilladoor.role;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.dispatch.Demand;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;

/**
 * Decides which engine of a pool changes its role.
 *
 * <p>A change is made only where the forecast load of the busier phase falls by more than the
 * change costs, and only one at a time with a pause in between. Invariant: an engine is chosen only
 * if it is usable and the pool keeps at least one usable engine beside it. Belongs to the control
 * thread.
 */
public final class RoleCore {
    private static final double LEAST_GAIN = 0.04;
    private static final double BUSY = 0.6;
    private static final long PAUSE_MILLIS = 6_000;
    private static final long DWELL_MILLIS = 60_000;
    private static final double USABLE_STREAM_SHARE = 0.8;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private final Policies.Roles mPolicy;
    private final EngineProfile mProfile;
    private final Map<String, Long> mChangedMillis = new HashMap<>();
    private long mLastChangeMillis = Long.MIN_VALUE / 2;

    private RoleCore(Policies.Roles policy, EngineProfile profile) {
        mPolicy = policy;
        mProfile = profile;
    }

    /**
     * Returns a core that has changed nothing.
     *
     * @param policy policy to follow
     * @param profile speeds and sizes of the pool's engines
     */
    public static RoleCore create(Policies.Roles policy, EngineProfile profile) {
        return new RoleCore(policy, profile);
    }

    /**
     * Returns the change to make now, if one pays.
     *
     * @param engines engines of the pool
     * @param forecast work per second expected once a change would be done
     */
    public Optional<RoleChange> decide(
            List<EndpointView> engines, Demand forecast, long nowMillis) {
        List<EndpointView> usable = engines.stream().filter(view -> !view.leaving()).toList();
        boolean changing = usable.stream().anyMatch(view -> view.changing() || view.drained());
        boolean early = nowMillis - mLastChangeMillis < PAUSE_MILLIS;
        if (mPolicy == Policies.Roles.STATIC || changing || early || usable.size() < 2) {
            return Optional.empty();
        }
        Map<EngineRole, Integer> counts = counts(usable);
        double present = load(counts, forecast);
        if (present < BUSY) {
            return Optional.empty();
        }
        Optional<RoleChange> change =
                best(counts, forecast, present)
                        .flatMap(move -> change(usable, move, present, nowMillis));
        change.ifPresent(
                made -> {
                    mLastChangeMillis = nowMillis;
                    mChangedMillis.put(made.endpoint(), nowMillis);
                });
        return change;
    }

    /** Returns the load of the busier phase, 1 being all that the engines can do. */
    double load(Map<EngineRole, Integer> counts, Demand demand) {
        // Each phase is spread over the engines so that the busiest engine is as idle as can be.
        double low = 0;
        double high = 100;
        for (int i = 0; i < 40; i++) {
            double middle = (low + high) / 2;
            if (fits(counts, demand, middle)) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    private boolean fits(Map<EngineRole, Integer> counts, Demand demand, double load) {
        // Engines that prefer reading fill up with prompts first; the rest of their time generates.
        double prompt = demand.promptTokens();
        double output = demand.outputTokens();
        for (EngineRole role :
                new EngineRole[] {EngineRole.PREFILL, EngineRole.MIXED, EngineRole.DECODE}) {
            double time = counts.getOrDefault(role, 0) * load;
            double reading = Math.min(time, prompt / prefillRate(role));
            prompt -= reading * prefillRate(role);
            output -= (time - reading) * decodeRate(role);
        }
        return prompt <= 1e-6 && output <= 1e-6;
    }

    private double prefillRate(EngineRole role) {
        return mProfile.prefillTokensPerSecond() * role.prefillSpeedFactor();
    }

    private double decodeRate(EngineRole role) {
        int streams = (int) (mProfile.maximumStreams() * USABLE_STREAM_SHARE);
        return streams * MILLIS_PER_SECOND / mProfile.intervalMillis(streams, role);
    }

    private Optional<Move> best(
            Map<EngineRole, Integer> counts, Demand forecast, double presentLoad) {
        Move best = null;
        for (EngineRole from : counts.keySet()) {
            for (EngineRole to : List.of(EngineRole.PREFILL, EngineRole.DECODE)) {
                if (from == to || counts.get(from) == 0) {
                    continue;
                }
                double load = load(moved(counts, from, to), forecast);
                if (best == null || load < best.load()) {
                    best = new Move(from, to, load);
                }
            }
        }
        boolean pays = best != null && best.load() < presentLoad * (1 - LEAST_GAIN);
        return pays ? Optional.of(best) : Optional.empty();
    }

    private Optional<RoleChange> change(
            List<EndpointView> usable, Move move, double presentLoad, long nowMillis) {
        String reason =
                String.format(
                        Locale.ROOT,
                        "load of the busier phase falls from %.2f to %.2f",
                        presentLoad,
                        move.load());
        return usable.stream()
                .filter(view -> view.role() == move.from())
                .filter(view -> hasDwelt(view.description().name(), nowMillis))
                .min(
                        Comparator.comparingInt(EndpointView::requests)
                                .thenComparing(view -> view.description().name()))
                .map(view -> new RoleChange(view.description().name(), move.to(), reason));
    }

    private boolean hasDwelt(String endpoint, long nowMillis) {
        Long changed = mChangedMillis.get(endpoint);
        return changed == null || nowMillis - changed >= DWELL_MILLIS;
    }

    private static Map<EngineRole, Integer> moved(
            Map<EngineRole, Integer> counts, EngineRole from, EngineRole to) {
        Map<EngineRole, Integer> moved = new EnumMap<>(counts);
        moved.merge(from, -1, Integer::sum);
        moved.merge(to, 1, Integer::sum);
        return moved;
    }

    private static Map<EngineRole, Integer> counts(List<EndpointView> usable) {
        Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
        usable.forEach(view -> counts.merge(view.role(), 1, Integer::sum));
        return counts;
    }

    /** A role change of some engine with the load that would remain. */
    private record Move(EngineRole from, EngineRole to, double load) {}
}
