package org.vanilladoor.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.ServiceDefinition;

/**
 * The role planner before it got the work of both phases: it knows prompts in prefill and running
 * requests only. Tests compare the present one with it on calm loads.
 */
final class PreviousRolePlanner {
    /** Smallest number of engines in the decode role, so that one of them may fail. */
    private static final int MINIMUM_DECODE_ENGINES = 2;

    /**
     * Smallest share of the engines in the decode role, because the number of chat requests can
     * triple in less time than a role change takes.
     */
    private static final double MINIMUM_DECODE_SHARE = 0.25;

    /** Average number of prompts in prefill above which spare engines take the prefill role. */
    private static final double MINIMUM_PREFILL_LOAD = 0.05;

    /** Share of the engines that take the prefill role before any load; prompts are mostly long. */
    private static final double INITIAL_PREFILL_SHARE = 0.75;

    /** Smallest number of engines at which some take the prefill role before any load. */
    private static final int MINIMUM_ENGINES_FOR_INITIAL_PREFILL = 4;

    /** Share of the decode engines' slots in use above which another decode engine is needed. */
    private static final double MAXIMUM_SLOT_SHARE = 0.8;

    /** Share of the slots in use after a change, low enough that no other change follows soon. */
    private static final double TARGET_SLOT_SHARE = 0.55;

    /**
     * Time after which a peak of running requests has decayed to about a third, in milliseconds.
     */
    private static final double PEAK_DECAY_MILLIS = 60_000;

    /**
     * Shortest time in a role, in milliseconds; an engine is unavailable for seconds per change.
     */
    private static final long MINIMUM_ROLE_MILLIS = 20_000;

    /** Factor by which the running requests have to exceed the decayed peak to count as a rise. */
    private static final double RISE_FACTOR = 1.2;

    /** Time after a rise, or a change to decode, in which no engine leaves the decode role. */
    private static final long DECODE_HOLD_MILLIS = 6_000;

    private final Map<String, Long> mChangedMillis = new HashMap<>();
    private long mDecodeNeededMillis = Long.MIN_VALUE / 2;
    private double mPeakRunning;
    private long mPeakMillis;

    private PreviousRolePlanner() {}

    /** Creates a planner without recorded changes. */
    static PreviousRolePlanner create() {
        return new PreviousRolePlanner();
    }

    /**
     * Returns the role changes to order now.
     *
     * @param service the service; the result is empty if it has no engines
     * @param endpoints its endpoints
     * @param load current load of the endpoints
     */
    List<RolePlanner.RoleAssignment> decide(
            ServiceDefinition service, List<Endpoint> endpoints, ServiceLoad load, long nowMillis) {
        if (service.engine().isEmpty()) {
            return List.of();
        }
        List<Endpoint> usable = endpoints.stream().filter(each -> !each.leaving()).toList();
        List<Endpoint> decodeEngines = withRole(usable, EngineRole.DECODE);
        List<Endpoint> prefillEngines = withRole(usable, EngineRole.PREFILL);
        int slots = service.engine().get().slots();
        ServiceLoad peakLoad =
                new ServiceLoad(load.reading(), updatePeakRunning(load.running(), nowMillis));
        int wantedPrefill =
                wantedPrefillEngines(usable.size(), prefillEngines.size(), peakLoad, slots);
        int missing = wantedPrefill - prefillEngines.size();
        boolean mayLeaveDecode =
                prefillEngines.isEmpty() || nowMillis - mDecodeNeededMillis >= DECODE_HOLD_MILLIS;
        if (missing > 0) {
            return mayLeaveDecode
                    ? changes(decodeEngines, missing, EngineRole.PREFILL, nowMillis)
                    : List.of();
        }
        return changes(prefillEngines, -missing, EngineRole.DECODE, nowMillis);
    }

    private List<RolePlanner.RoleAssignment> changes(
            List<Endpoint> engines, int number, EngineRole role, long nowMillis) {
        List<Endpoint> remaining = new ArrayList<>(engines);
        List<RolePlanner.RoleAssignment> changes = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Optional<Endpoint> engine = nextToChange(remaining, nowMillis);
            engine.ifPresent(remaining::remove);
            engine.ifPresent(each -> changes.add(new RolePlanner.RoleAssignment(each, role)));
        }
        return changes;
    }

    /** Updates and returns the decaying peak of running requests; detects rises. */
    private double updatePeakRunning(double running, long nowMillis) {
        double decayedPeak = mPeakRunning * Math.exp((mPeakMillis - nowMillis) / PEAK_DECAY_MILLIS);
        if (decayedPeak > 0 && running > RISE_FACTOR * decayedPeak) {
            mDecodeNeededMillis = nowMillis;
        }
        mPeakRunning = Math.max(running, decayedPeak);
        mPeakMillis = nowMillis;
        return mPeakRunning;
    }

    /**
     * Records an ordered change. An engine that changes to decode needs seconds for it; no engine
     * leaves the decode role in that time.
     */
    void recordOrder(RolePlanner.RoleAssignment change, long nowMillis) {
        mChangedMillis.put(change.engine().name(), nowMillis);
        if (change.role() == EngineRole.DECODE) {
            mDecodeNeededMillis = nowMillis;
        }
    }

    private static int wantedPrefillEngines(
            int engines, int prefillEngines, ServiceLoad load, int slots) {
        double neededEngines = load.running() / Math.max(1, slots);
        int decodeEngines = engines - prefillEngines;
        if (decodeEngines < minimumDecodeEngines(engines)
                || neededEngines > MAXIMUM_SLOT_SHARE * decodeEngines) {
            return Math.min(prefillEngines, engines - decodeEnginesFor(neededEngines, engines));
        }
        if (load.reading() == 0
                && load.running() == 0
                && engines >= MINIMUM_ENGINES_FOR_INITIAL_PREFILL) {
            return Math.max(prefillEngines, (int) (engines * INITIAL_PREFILL_SHARE));
        }
        boolean needsPrefill = load.reading() > MINIMUM_PREFILL_LOAD;
        return needsPrefill
                ? Math.max(prefillEngines, engines - decodeEnginesFor(neededEngines, engines))
                : prefillEngines;
    }

    private static int decodeEnginesFor(double neededEngines, int engines) {
        return Math.max(
                minimumDecodeEngines(engines), (int) Math.ceil(neededEngines / TARGET_SLOT_SHARE));
    }

    private static int minimumDecodeEngines(int engines) {
        return Math.max(MINIMUM_DECODE_ENGINES, (int) (engines * MINIMUM_DECODE_SHARE));
    }

    /**
     * Returns the engine to change next, if one may change. It is in the failure domain with the
     * most of the engines, and the most recently started one there, which has the least work to
     * finish.
     */
    private Optional<Endpoint> nextToChange(List<Endpoint> engines, long nowMillis) {
        Map<String, Integer> perDomain = new HashMap<>();
        engines.forEach(each -> perDomain.merge(each.failureDomain(), 1, Integer::sum));
        return engines.stream()
                .filter(each -> mayChange(each, nowMillis))
                .max(
                        Comparator.comparingInt(
                                        (Endpoint each) -> perDomain.get(each.failureDomain()))
                                .thenComparing(Endpoint::startMillis)
                                .thenComparing(Endpoint::name));
    }

    private boolean mayChange(Endpoint engine, long nowMillis) {
        Long changed = mChangedMillis.get(engine.name());
        return changed == null || nowMillis - changed >= MINIMUM_ROLE_MILLIS;
    }

    private static List<Endpoint> withRole(List<Endpoint> endpoints, EngineRole role) {
        return endpoints.stream().filter(each -> each.role() == role).toList();
    }
}
