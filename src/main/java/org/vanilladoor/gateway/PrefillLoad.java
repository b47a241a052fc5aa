package org.vanilladoor.gateway;

/**
 * One request's part in the load of the prefill engines of its service.
 *
 * <p>Invariants: the request counts at most once in each number, and is counted as missed at most
 * once. Time is passed in as an argument. Confined to the control thread.
 */
final class PrefillLoad {
    private final ServiceLoadSink mSink;
    private final String mService;
    private final long mObjectiveMillis;
    private boolean mPrefilling;
    private boolean mWaiting;
    private boolean mMissed;

    private PrefillLoad(ServiceLoadSink sink, String service, long objectiveMillis) {
        mSink = sink;
        mService = service;
        mObjectiveMillis = objectiveMillis;
    }

    /**
     * Creates the load of a request that is not in prefill.
     *
     * @param objectiveMillis time by which the first byte of the response is due
     */
    static PrefillLoad create(ServiceLoadSink sink, String service, long objectiveMillis) {
        return new PrefillLoad(sink, service, objectiveMillis);
    }

    /** Sets whether the prompt waits for, or is in, prefill on a separate engine. */
    void setPrefilling(boolean isPrefilling) {
        if (isPrefilling != mPrefilling) {
            mPrefilling = isPrefilling;
            mSink.adjust(mService, ServiceLoadSink.Gauge.PREFILLS, isPrefilling ? 1 : -1);
            if (isPrefilling) {
                mSink.count(mService, ServiceLoadSink.Counter.ARRIVED_PROMPTS, 1);
            }
        }
    }

    /** Counts the prompt as waiting for a prefill engine with room. */
    void startWaiting() {
        if (!mWaiting) {
            mWaiting = true;
            mSink.adjust(mService, ServiceLoadSink.Gauge.WAITING_PROMPTS, 1);
        }
    }

    /** Ends the wait; a prompt that has waited past its objective has missed it. */
    void endWaiting(long nowMillis) {
        if (mWaiting) {
            mWaiting = false;
            mSink.adjust(mService, ServiceLoadSink.Gauge.WAITING_PROMPTS, -1);
            if (nowMillis > mObjectiveMillis) {
                countMissed();
            }
        }
    }

    /** Counts a refusal, if it is for want of a prefill engine with room. */
    void recordRefusal(Refusal refusal) {
        if (mPrefilling && refusal == Refusal.OVERLOADED) {
            countMissed();
        }
    }

    private void countMissed() {
        if (!mMissed) {
            mMissed = true;
            mSink.count(mService, ServiceLoadSink.Counter.MISSED_PROMPTS, 1);
        }
    }

    /** Counts a prompt that an engine has prefilled. */
    void recordPrefilled() {
        mSink.count(mService, ServiceLoadSink.Counter.PREFILLED_PROMPTS, 1);
    }
}
