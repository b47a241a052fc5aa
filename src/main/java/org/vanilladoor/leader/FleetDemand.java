package org.vanilladoor.leader;

import java.util.List;
import java.util.OptionalInt;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Estimates how many engines the work of a service needs, with room for bursts and for the loss of
 * the reclaimable engines of one failure domain.
 *
 * <p>The load that it responds to: prompts that arrive and wait, and requests that generate, at
 * their peak within the last 40 to 80 s. It states no size while callers get less than they should,
 * or while too little is known. Time is passed in as an argument. Confined to the control thread.
 */
final class FleetDemand {
    /** Time for which a peak counts; bursts return within it. */
    private static final long PEAK_MILLIS = 40_000;

    /** Time for which the load has to be known: two reports of a process, and their listing. */
    private static final long MINIMUM_KNOWN_MILLIS = 10_000;

    /**
     * Share of the time in which prefill engines are busy. At a half, a prompt waits for half the
     * time of another one on average, which is a small part of its objective.
     */
    private static final double PREFILL_SHARE = 0.5;

    /** Share of the slots that are used. */
    private static final double SLOT_SHARE = 0.55;

    /** Share of the slots from which on requests may wait for one. */
    private static final double MAXIMUM_SLOT_SHARE = 0.8;

    /** Largest share of the engines that prefill; the rest stays in the decode role. */
    private static final double MAXIMUM_PREFILL_PART = 0.75;

    /** Smallest number of decode engines. */
    private static final int MINIMUM_DECODE_ENGINES = 2;

    /** Growth of the work that the engines absorb until others have been ordered and started. */
    private static final double BURST_FACTOR = 1.5;

    private final PrefillDemand mPrefillDemand = PrefillDemand.create();
    private final RecentPeak mPrefill = RecentPeak.create(PEAK_MILLIS);
    private final RecentPeak mSlots = RecentPeak.create(PEAK_MILLIS);
    private final RecentPeak mShortage = RecentPeak.create(PEAK_MILLIS);
    private int mSlotsPerEngine = 1;
    private boolean mKnown;
    private long mKnownSinceMillis;
    private long mNowMillis;

    private FleetDemand() {}

    /** Creates an estimate without observations. */
    static FleetDemand create() {
        return new FleetDemand();
    }

    /** Adds the current load of the endpoints. */
    void observe(
            ServiceDefinition service, List<Endpoint> endpoints, ServiceLoad load, long nowMillis) {
        mNowMillis = nowMillis;
        mSlotsPerEngine =
                Math.max(
                        1,
                        service.engine().map(ServiceDefinition.EngineDefinition::slots).orElse(1));
        mPrefillDemand.observe(load, count(endpoints, EngineRole.PREFILL), nowMillis);
        long startMillis = service.scaling().map(ServiceDefinition.Scaling::startMillis).orElse(0L);
        mPrefill.add(mPrefillDemand.neededEngines(load, startMillis), nowMillis);
        mSlots.add(load.generating(), nowMillis);
        int slots = mSlotsPerEngine * count(endpoints, EngineRole.DECODE);
        boolean isShort =
                PrefillDemand.isMissing(load) || load.generating() > MAXIMUM_SLOT_SHARE * slots;
        mShortage.add(isShort ? 1 : 0, nowMillis);
        boolean isKnown = mPrefillDemand.promptsPerEngineSecond() > 0;
        if (isKnown && !mKnown) {
            mKnownSinceMillis = nowMillis;
        }
        mKnown = isKnown;
    }

    private static int count(List<Endpoint> endpoints, EngineRole role) {
        return (int)
                endpoints.stream().filter(each -> each.isUsable() && each.role() == role).count();
    }

    /**
     * Returns the size that the work needs; empty if callers lack engines or too little is known.
     *
     * @param failureDomains number of failure domains that the engines are spread over
     */
    OptionalInt size(int failureDomains) {
        boolean isLongKnown = mKnown && mNowMillis - mKnownSinceMillis >= MINIMUM_KNOWN_MILLIS;
        if (!isLongKnown || mShortage.peak() > 0) {
            return OptionalInt.empty();
        }
        double prefill = prefillEngines() / PREFILL_SHARE;
        double decode = Math.max(MINIMUM_DECODE_ENGINES, decodeEngines() / SLOT_SHARE);
        double work = Math.max(prefill + decode, prefill / MAXIMUM_PREFILL_PART);
        double lossFactor = failureDomains > 1 ? (double) failureDomains / (failureDomains - 1) : 2;
        return OptionalInt.of((int) Math.ceil(work * BURST_FACTOR * lossFactor));
    }

    /** Returns the engines that would be busy all the time with the peak of prompts. */
    double prefillEngines() {
        return mPrefill.peak();
    }

    /** Returns the engines whose slots the peak of generating requests would fill. */
    double decodeEngines() {
        return mSlots.peak() / mSlotsPerEngine;
    }

    /** Returns whether callers have lacked engines within the time for which a peak counts. */
    boolean isShort() {
        return mShortage.peak() > 0;
    }
}
