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
import org.vanilladoor.route.ServiceDefinition.EngineDefinition;

/**
 * Decides from the current load how many engines of one service take the prefill role.
 *
 * <p>Engines that decode doesn't need prefill. It needs what the decaying peak of generating
 * requests needs, but takes no engine that the prompts of the next seconds need, and gives back
 * those that only the peak needs once more prompts arrive or wait than the prefill engines can
 * prefill. If there are too few engines for both, each phase gets its share.
 *
 * <p>Invariants: an engine changes to prefill only if at least {@link #MINIMUM_DECODE_ENGINES}
 * engines remain in the decode role, spread over as many failure domains as possible. An engine
 * keeps a role for at least {@link #MINIMUM_ROLE_MILLIS}, unless requests of the other phase miss
 * their objective; it then works at least twice as long as its change took. An engine that changes
 * its role counts in the new one and is not changed again. Time and measurements are passed in as
 * arguments, and the role changes are returned. Confined to the control thread.
 */
public final class RolePlanner {
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

    /**
     * Share of the time in which prefill engines are to be busy after a change, low enough that no
     * other change follows soon.
     */
    private static final double TARGET_PREFILL_SHARE = 0.8;

    /**
     * Time in which prefill engines are to clear their queue, as a multiple of the duration of a
     * role change. An engine that changes its role helps only in the second half of it; a queue
     * that is cleared sooner needs none.
     */
    private static final long CLEAR_ROLE_CHANGES = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Time for which engines were needed lately. An engine that changes its role and has to change
     * back is away for two changes and the age of the reports, about one to two of these periods; a
     * load that returned within it made the change useless.
     */
    private static final long RECENT_MILLIS = 6_000;

    private final PrefillDemand mPrefillDemand = PrefillDemand.create();
    private final Map<String, Long> mChangedMillis = new HashMap<>();
    private long mDecodeNeededMillis = Long.MIN_VALUE / 2;
    private long mPrefillEnoughMillis = Long.MIN_VALUE / 2;
    private RoleDemand mDemand = RoleDemand.NONE;
    private long mStarvingRoleMillis = MINIMUM_ROLE_MILLIS;
    private final RecentPeak mRecentSlots = RecentPeak.create(RECENT_MILLIS);
    private double mPeakRunning;
    private long mPeakMillis;

    private RolePlanner() {}

    /** Creates a planner without recorded changes. */
    public static RolePlanner create() {
        return new RolePlanner();
    }

    /**
     * Returns the role changes to order now.
     *
     * @param service the service; the result is empty if it has no engines
     * @param endpoints its endpoints
     * @param load current load of the endpoints
     */
    public List<RoleAssignment> decide(
            ServiceDefinition service, List<Endpoint> endpoints, ServiceLoad load, long nowMillis) {
        if (service.engine().isEmpty()) {
            return List.of();
        }
        List<Endpoint> usable = endpoints.stream().filter(each -> !each.leaving()).toList();
        List<Endpoint> decodeEngines = withRole(usable, EngineRole.DECODE);
        List<Endpoint> prefillEngines = withRole(usable, EngineRole.PREFILL);
        EngineDefinition definition = service.engine().get();
        mDemand = demand(definition, prefillEngines, decodeEngines, load, nowMillis);
        int missing =
                wantedPrefillEngines(usable.size(), prefillEngines.size(), load.reading(), mDemand)
                        - prefillEngines.size();
        boolean mayLeaveDecode =
                prefillEngines.isEmpty()
                        || mDemand.isPrefillStarving()
                        || nowMillis - mDecodeNeededMillis >= DECODE_HOLD_MILLIS;
        if (missing > 0) {
            return mayLeaveDecode
                    ? changes(decodeEngines, missing, EngineRole.PREFILL, nowMillis)
                    : List.of();
        }
        return changes(prefillEngines, -missing, EngineRole.DECODE, nowMillis);
    }

    /** Returns the demand that the last decision was based on. */
    public RoleDemand demand() {
        return mDemand;
    }

    private RoleDemand demand(
            EngineDefinition definition,
            List<Endpoint> prefillEngines,
            List<Endpoint> decodeEngines,
            ServiceLoad load,
            long nowMillis) {
        int slots = Math.max(1, definition.slots());
        long clearMillis = CLEAR_ROLE_CHANGES * definition.roleChangeMillis();
        mStarvingRoleMillis = CLEAR_ROLE_CHANGES * definition.roleChangeMillis();
        mPrefillDemand.observe(load, countWorking(prefillEngines), nowMillis);
        double prefill = mPrefillDemand.neededEngines(load, clearMillis);
        if (prefill <= prefillEngines.size()) {
            mPrefillEnoughMillis = nowMillis;
        }
        boolean isNeedLasting = nowMillis - mPrefillEnoughMillis >= definition.roleChangeMillis();
        boolean isPrefillStarving =
                prefill > prefillEngines.size() && PrefillDemand.isMissing(load);
        double usedSlots = usedSlots(load, countWorking(decodeEngines) * slots, clearMillis);
        mRecentSlots.add(usedSlots, nowMillis);
        double peakSlots = updatePeakRunning(usedSlots, nowMillis);
        if (isPrefillStarving) {
            // Prompts are missed now; an older peak is no reason to keep engines from them.
            mPeakRunning = mRecentSlots.peak();
            peakSlots = mRecentSlots.peak();
        }
        return new RoleDemand(
                prefill,
                mRecentSlots.peak() / slots,
                peakSlots / slots,
                mPrefillDemand.promptsPerEngineSecond(),
                isNeedLasting,
                isPrefillStarving,
                usedSlots > decodeEngines.size() * slots);
    }

    private static int countWorking(List<Endpoint> engines) {
        return (int) engines.stream().filter(each -> !each.changing()).count();
    }

    /**
     * Returns the slots that requests use, or would use if there were enough. Requests without a
     * first event wait for their KV cache, unless most slots are used: then they wait for a slot,
     * and need as many as can generate their tokens within a time.
     */
    private static double usedSlots(ServiceLoad load, int slots, long clearMillis) {
        double generating = load.generating();
        double awaiting = load.running() - generating;
        if (awaiting <= 0 || generating <= MAXIMUM_SLOT_SHARE * slots) {
            return generating;
        }
        double generatedPerSlotSecond = load.generation().generated() / generating;
        double awaitingTokens = load.generation().outputTokens() * awaiting / load.running();
        double neededSlots =
                generatedPerSlotSecond > 0
                        ? awaitingTokens
                                * MILLIS_PER_SECOND
                                / generatedPerSlotSecond
                                / Math.max(1, clearMillis)
                        : awaiting;
        return generating + Math.min(awaiting, neededSlots);
    }

    private List<RoleAssignment> changes(
            List<Endpoint> engines, int number, EngineRole role, long nowMillis) {
        List<Endpoint> remaining = new ArrayList<>(engines);
        List<RoleAssignment> changes = new ArrayList<>();
        boolean isStarving =
                role == EngineRole.PREFILL
                        ? mDemand.isPrefillStarving()
                        : mDemand.isDecodeStarving();
        for (int i = 0; i < number; i++) {
            Optional<Endpoint> engine = nextToChange(remaining, isStarving, nowMillis);
            engine.ifPresent(remaining::remove);
            engine.ifPresent(each -> changes.add(new RoleAssignment(each, role)));
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
    public void recordOrder(RoleAssignment change, long nowMillis) {
        mChangedMillis.put(change.engine().name(), nowMillis);
        if (change.role() == EngineRole.DECODE) {
            mDecodeNeededMillis = nowMillis;
        }
    }

    private static int wantedPrefillEngines(
            int engines, int prefillEngines, double reading, RoleDemand demand) {
        int spare = sparePrefillEngines(engines, prefillEngines, reading, demand);
        int mostPrefill = engines - minimumDecodeEngines(engines);
        if (demand.prefill() > prefillEngines) {
            int target = (int) Math.ceil(demand.prefill() / TARGET_PREFILL_SHARE);
            int notNeeded = engines - decodeEnginesFor(demand.decode(), engines);
            // A need that is over before an engine has changed is no reason to take one from
            // decode.
            int share =
                    demand.isPrefillNeedLasting()
                            ? (int) Math.floor(demand.prefillShare() * engines)
                            : 0;
            int raised = Math.min(target, Math.max(notNeeded, share));
            return Math.min(mostPrefill, Math.max(prefillEngines, Math.max(raised, spare)));
        }
        int needed = (int) Math.ceil(Math.min(demand.prefill(), demand.prefillShare() * engines));
        return Math.max(spare, Math.min(prefillEngines, Math.min(needed, mostPrefill)));
    }

    /** Returns the number of prefill engines if they take what the peak of decode leaves. */
    private static int sparePrefillEngines(
            int engines, int prefillEngines, double reading, RoleDemand demand) {
        double neededEngines = demand.decodePeak();
        int decodeEngines = engines - prefillEngines;
        if (decodeEngines < minimumDecodeEngines(engines)
                || neededEngines > MAXIMUM_SLOT_SHARE * decodeEngines) {
            return Math.min(prefillEngines, engines - decodeEnginesFor(neededEngines, engines));
        }
        if (reading == 0 && neededEngines == 0 && engines >= MINIMUM_ENGINES_FOR_INITIAL_PREFILL) {
            return Math.max(prefillEngines, (int) (engines * INITIAL_PREFILL_SHARE));
        }
        boolean needsPrefill = reading > MINIMUM_PREFILL_LOAD;
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
    private Optional<Endpoint> nextToChange(
            List<Endpoint> engines, boolean isStarving, long nowMillis) {
        Map<String, Integer> perDomain = new HashMap<>();
        engines.forEach(each -> perDomain.merge(each.failureDomain(), 1, Integer::sum));
        long minimumMillis = isStarving ? mStarvingRoleMillis : MINIMUM_ROLE_MILLIS;
        return engines.stream()
                .filter(each -> !each.changing() && hasRoleFor(each, minimumMillis, nowMillis))
                .max(
                        Comparator.comparing(
                                        (Endpoint each) ->
                                                hasRoleFor(each, MINIMUM_ROLE_MILLIS, nowMillis))
                                .thenComparingInt(each -> perDomain.get(each.failureDomain()))
                                .thenComparing(Endpoint::startMillis)
                                .thenComparing(Endpoint::name));
    }

    private boolean hasRoleFor(Endpoint engine, long millis, long nowMillis) {
        Long changed = mChangedMillis.get(engine.name());
        return changed == null || nowMillis - changed >= millis;
    }

    private static List<Endpoint> withRole(List<Endpoint> endpoints, EngineRole role) {
        return endpoints.stream().filter(each -> each.role() == role).toList();
    }

    /**
     * A decision that an engine is to take a role.
     *
     * @param engine engine that changes its role
     * @param role role that it takes
     */
    public record RoleAssignment(Endpoint engine, EngineRole role) {}

    /**
     * The engines that the work of both phases needs, in engines that are busy all the time.
     *
     * @param prefill engines for the prompts that arrive and wait; 0 if not known
     * @param decode engines for the largest number of requests that generated in the last seconds
     * @param decodePeak engines for the decaying peak of generating requests
     * @param promptsPerEngineSecond prompts that an engine prefills per second; 0 if not known
     * @param isPrefillNeedLasting whether prefill has lacked engines for as long as a change takes
     * @param isPrefillStarving whether prompts miss their objective for want of prefill engines
     * @param isDecodeStarving whether requests wait for a slot for want of decode engines
     */
    public record RoleDemand(
            double prefill,
            double decode,
            double decodePeak,
            double promptsPerEngineSecond,
            boolean isPrefillNeedLasting,
            boolean isPrefillStarving,
            boolean isDecodeStarving) {
        private static final RoleDemand NONE = new RoleDemand(0, 0, 0, 0, false, false, false);

        /** Returns prefill's share of the need; all of it if decode needs nothing. */
        double prefillShare() {
            double decodeNeed = decode / MAXIMUM_SLOT_SHARE;
            return decodeNeed > 0 ? prefill / (prefill + decodeNeed) : 1;
        }
    }
}
