package org.vanilladoor.fleet;

import java.util.OptionalLong;

/**
 * The expected work of one call of this VM, and what is observed of it.
 *
 * <p>Invariant: what is left of the work counts as outstanding at the endpoint until the call has
 * ended. Time is passed in as an argument. Confined to the control thread.
 */
public final class CallCost {
    /** Part of an observed time that counts at least as the endpoint's work. */
    private static final double MINIMUM_WORK_PART = 0.2;

    /** Expected time below which the clock's resolution hides how fast an endpoint is. */
    private static final double MINIMUM_OBSERVED_MILLIS = 3;

    /** Prompts shorter than this tell little of the time to prefill a token. */
    private static final double MINIMUM_OBSERVED_TOKENS = 300;

    /** Streams with fewer events tell little of the time between them. */
    private static final int MINIMUM_OBSERVED_EVENTS = 8;

    private final ServiceCosts mCosts;
    private final EndpointCost mEndpoint;
    private final RequestProfile mRequest;
    private final WorkPhase mPhase;
    private final boolean mCacheNear;
    private final ExpectedWork mWork;
    private final double mSlowness;
    private final double mWaitMillis;
    private final double mExpectedMillis;
    private final long mTokens;
    private final long mSentMillis;
    private double mPromptLeftMillis;
    private double mSlotLeftMillis;
    private long mFirstResultMillis;
    private long mLastEventMillis;
    private int mEvents;
    private boolean mHasResult;
    private boolean mEnded;

    private CallCost(
            ServiceCosts costs,
            RequestProfile request,
            WorkPhase phase,
            boolean isCacheNear,
            CostAssessment.Option option,
            long nowMillis) {
        mCosts = costs;
        mEndpoint = costs.endpoint(option.endpoint());
        mRequest = request;
        mPhase = phase;
        mCacheNear = isCacheNear;
        mWork = option.work();
        mSlowness = option.slowness();
        mWaitMillis = option.waitMillis();
        mExpectedMillis = option.firstResultMillis();
        mTokens = phase == WorkPhase.PREFILL ? request.promptTokens() : request.maximumTokens();
        mSentMillis = nowMillis;
        mPromptLeftMillis = mWork.promptMillis();
        mSlotLeftMillis = mWork.slotMillis();
    }

    /** Adds the work of a call that is about to be sent to the endpoint's outstanding work. */
    static CallCost open(
            ServiceCosts costs,
            RequestProfile request,
            WorkPhase phase,
            boolean isCacheNear,
            CostAssessment.Option option,
            long nowMillis) {
        CallCost call = new CallCost(costs, request, phase, isCacheNear, option, nowMillis);
        call.mEndpoint.addCall(call.mPromptLeftMillis, call.mSlotLeftMillis, call.mTokens);
        costs.meanWork(ServiceCosts.isPrefillEngine(option.endpoint()))
                .add(call.mPromptLeftMillis, call.mSlotLeftMillis, call.mTokens);
        if (phase != WorkPhase.RUN_WITH_CACHE) {
            costs.prefixUse().record(request.prefixKey(), option.endpoint(), nowMillis);
        }
        return call;
    }

    /** Returns the expected time from sending the call to the first part of its result. */
    public double expectedMillis() {
        return mExpectedMillis;
    }

    /**
     * Records complete events of a stream.
     *
     * @return the time from sending to the first event, if these include it
     */
    public OptionalLong recordEvents(int count, long nowMillis) {
        if (mEnded || count <= 0) {
            return OptionalLong.empty();
        }
        OptionalLong first = recordFirstResult(nowMillis);
        mEvents += count;
        mLastEventMillis = nowMillis;
        removeSlotWork(count * mCosts.outputTokenMillis().value());
        return first;
    }

    /**
     * Records the end of a response that shows how long the work takes.
     *
     * @return the time from sending to the response, unless it had events
     */
    public OptionalLong recordResponse(long nowMillis) {
        if (mEvents == 0) {
            return recordFirstResult(nowMillis);
        }
        mCosts.outputLength(mRequest.route()).observe(mRequest, mEvents);
        if (mEvents >= MINIMUM_OBSERVED_EVENTS) {
            double interval = (mLastEventMillis - mFirstResultMillis) / (double) (mEvents - 1);
            mEndpoint.observeSlowness(interval / mCosts.outputTokenMillis().value());
            mCosts.outputTokenMillis().observe(interval / mSlowness);
        }
        return OptionalLong.empty();
    }

    /** Removes what is left of the work; does nothing if the call has ended before. */
    public void end() {
        if (!mEnded) {
            mEnded = true;
            mEndpoint.removeCall(mPromptLeftMillis, mSlotLeftMillis, mTokens);
        }
    }

    private OptionalLong recordFirstResult(long nowMillis) {
        if (mHasResult) {
            return OptionalLong.empty();
        }
        mHasResult = true;
        mFirstResultMillis = nowMillis;
        long tookMillis = nowMillis - mSentMillis;
        observe(Math.max(1, tookMillis));
        if (!mEnded) {
            mEndpoint.addWork(-mPromptLeftMillis, 0);
            mPromptLeftMillis = 0;
            removeSlotWork(mWork.fetchMillis());
        }
        return OptionalLong.of(tookMillis);
    }

    private void removeSlotWork(double millis) {
        double removed = Math.min(mSlotLeftMillis, millis);
        mSlotLeftMillis -= removed;
        mEndpoint.addWork(0, -removed);
    }

    private void observe(double tookMillis) {
        double least = MINIMUM_WORK_PART * tookMillis;
        double atEndpoint = Math.max(least, tookMillis - ServiceCosts.OVERHEAD_MILLIS);
        double expectedAtMedian = mWaitMillis / mSlowness + mWork.firstResultMillis();
        if (expectedAtMedian >= MINIMUM_OBSERVED_MILLIS) {
            mEndpoint.observeSlowness(atEndpoint / expectedAtMedian);
        }
        double work = Math.max(least, atEndpoint - mWaitMillis) / mSlowness;
        if (!mRequest.hasPrompt()) {
            mCosts.duration(mRequest.route()).observe(work);
        } else if (mPhase == WorkPhase.RUN_WITH_CACHE) {
            mCosts.fetchTokenMillis(mCacheNear).observe(work / mRequest.promptTokens());
        } else if (mWork.promptTokens() >= MINIMUM_OBSERVED_TOKENS) {
            mCosts.promptTokenMillis(mEndpoint.endpoint().role())
                    .observe(work / mWork.promptTokens());
        }
    }
}
