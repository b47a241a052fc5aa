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
 * <p>A change is made only if it reduces the forecast load of the busier phase (prefill or decode)
 * by more than the change costs. Changes are made one at a time with a pause in between. Invariant:
 * an engine is chosen only if it is usable and the pool has at least one other usable engine.
 * Confined to the control thread.
 */
public final class RoleCore {
    /** Smallest relative reduction of the load that justifies a change. */
    private static final double MINIMUM_LOAD_REDUCTION = 0.04;

    /** Load of the busier phase below which no engine changes its role. */
    private static final double MINIMUM_LOAD = 0.6;

    /** Shortest time between two changes in the pool. */
    private static final long CHANGE_INTERVAL_MILLIS = 6_000;

    /** Shortest time for which an engine keeps a role. */
    private static final long MINIMUM_ROLE_MILLIS = 60_000;

    /** Share of an engine's streams with which the decode rate is calculated. */
    private static final double USABLE_STREAM_SHARE = 0.8;

    /** Upper bound of the search for the load. */
    private static final double MAXIMUM_LOAD = 100;

    /** Number of bisection steps of the search for the load. */
    private static final int BISECTION_STEPS = 40;

    /** Remaining tokens per second that count as none, to absorb rounding errors. */
    private static final double TOKEN_TOLERANCE = 1e-6;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private final Policies.Roles mPolicy;
    private final EngineProfile mProfile;
    private final Map<String, Long> mLastChangeMillisByEngine = new HashMap<>();
    private long mLastChangeMillis = Long.MIN_VALUE / 2;

    private RoleCore(Policies.Roles policy, EngineProfile profile) {
        mPolicy = policy;
        mProfile = profile;
    }

    /**
     * Creates an instance without previous changes.
     *
     * @param policy policy for role changes
     * @param profile speeds and sizes of the pool's engines
     */
    public static RoleCore create(Policies.Roles policy, EngineProfile profile) {
        return new RoleCore(policy, profile);
    }

    /**
     * Returns the change to make now, if one is worth its cost.
     *
     * @param engines engines of the pool
     * @param forecast expected demand, in tokens per second, after a change would be complete
     */
    public Optional<RoleChange> decide(
            List<EndpointView> engines, Demand forecast, long nowMillis) {
        List<EndpointView> usable = engines.stream().filter(view -> !view.leaving()).toList();
        boolean isChanging = usable.stream().anyMatch(view -> view.changing() || view.drained());
        boolean isTooEarly = nowMillis - mLastChangeMillis < CHANGE_INTERVAL_MILLIS;
        if (mPolicy == Policies.Roles.STATIC || isChanging || isTooEarly || usable.size() < 2) {
            return Optional.empty();
        }
        Map<EngineRole, Integer> counts = counts(usable);
        double presentLoad = load(counts, forecast);
        if (presentLoad < MINIMUM_LOAD) {
            return Optional.empty();
        }
        Optional<RoleChange> change =
                bestMove(counts, forecast, presentLoad)
                        .flatMap(move -> change(usable, move, presentLoad, nowMillis));
        change.ifPresent(
                made -> {
                    mLastChangeMillis = nowMillis;
                    mLastChangeMillisByEngine.put(made.endpoint(), nowMillis);
                });
        return change;
    }

    /** Returns the load of the busier phase; 1 is the full capacity of the engines. */
    double load(Map<EngineRole, Integer> counts, Demand demand) {
        // Finds the smallest load of the busiest engine for which some distribution of both phases
        // over the engines meets the demand.
        double low = 0;
        double high = MAXIMUM_LOAD;
        for (int i = 0; i < BISECTION_STEPS; i++) {
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
        // Assigns prefill to the engines that are best at it first; the rest of their time is used
        // for decode.
        double promptTokens = demand.promptTokens();
        double outputTokens = demand.outputTokens();
        for (EngineRole role :
                new EngineRole[] {EngineRole.PREFILL, EngineRole.MIXED, EngineRole.DECODE}) {
            double availableTime = counts.getOrDefault(role, 0) * load;
            double prefillTime = Math.min(availableTime, promptTokens / prefillRate(role));
            promptTokens -= prefillTime * prefillRate(role);
            outputTokens -= (availableTime - prefillTime) * decodeRate(role);
        }
        return promptTokens <= TOKEN_TOLERANCE && outputTokens <= TOKEN_TOLERANCE;
    }

    private double prefillRate(EngineRole role) {
        return mProfile.prefillTokensPerSecond() * role.prefillSpeedFactor();
    }

    private double decodeRate(EngineRole role) {
        int streams = (int) (mProfile.maximumStreams() * USABLE_STREAM_SHARE);
        return streams * MILLIS_PER_SECOND / mProfile.intervalMillis(streams, role);
    }

    private Optional<RoleMove> bestMove(
            Map<EngineRole, Integer> counts, Demand forecast, double presentLoad) {
        RoleMove best = null;
        for (EngineRole from : counts.keySet()) {
            for (EngineRole to : List.of(EngineRole.PREFILL, EngineRole.DECODE)) {
                if (from == to || counts.get(from) == 0) {
                    continue;
                }
                double load = load(afterMove(counts, from, to), forecast);
                if (best == null || load < best.load()) {
                    best = new RoleMove(from, to, load);
                }
            }
        }
        boolean isWorthwhile =
                best != null && best.load() < presentLoad * (1 - MINIMUM_LOAD_REDUCTION);
        return isWorthwhile ? Optional.of(best) : Optional.empty();
    }

    private Optional<RoleChange> change(
            List<EndpointView> usable, RoleMove move, double presentLoad, long nowMillis) {
        String reason =
                String.format(
                        Locale.ROOT,
                        "load of the busier phase falls from %.2f to %.2f",
                        presentLoad,
                        move.load());
        return usable.stream()
                .filter(view -> view.role() == move.from())
                .filter(view -> mayChangeAgain(view.description().name(), nowMillis))
                .min(
                        Comparator.comparingInt(EndpointView::requests)
                                .thenComparing(view -> view.description().name()))
                .map(view -> new RoleChange(view.description().name(), move.to(), reason));
    }

    private boolean mayChangeAgain(String endpoint, long nowMillis) {
        Long changed = mLastChangeMillisByEngine.get(endpoint);
        return changed == null || nowMillis - changed >= MINIMUM_ROLE_MILLIS;
    }

    private static Map<EngineRole, Integer> afterMove(
            Map<EngineRole, Integer> counts, EngineRole from, EngineRole to) {
        Map<EngineRole, Integer> afterMove = new EnumMap<>(counts);
        afterMove.merge(from, -1, Integer::sum);
        afterMove.merge(to, 1, Integer::sum);
        return afterMove;
    }

    private static Map<EngineRole, Integer> counts(List<EndpointView> usable) {
        Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
        usable.forEach(view -> counts.merge(view.role(), 1, Integer::sum));
        return counts;
    }

    /** A change of one engine between two roles, with the load that results from it. */
    private record RoleMove(EngineRole from, EngineRole to, double load) {}
}
