package org.vanilladoor.gateway;

/**
 * The calls that one request has made, against the budget for repeats.
 *
 * <p>Free are the first call and the first reading of the prompt that an engine accepts; calls that
 * are rejected count. Invariant: no call is sent beyond what was free or paid for. Time goes in;
 * belongs to the control thread.
 */
final class CallBudget {
    /** Calls after which a request is given up, whatever the budget says. */
    private static final int MOST_CALLS = 5;

    private final GatewayContext mContext;
    private final String mService;
    private int mCalls;
    private int mSent;
    private int mPaid;
    private boolean mReadAccepted;

    CallBudget(GatewayContext context, String service) {
        mContext = context;
        mService = service;
    }

    /** Returns how many calls were made. */
    int calls() {
        return mCalls;
    }

    boolean isExhausted() {
        return mCalls >= MOST_CALLS;
    }

    /** Counts a call that is being sent. */
    void sent() {
        mCalls++;
        mSent++;
    }

    /** Takes back that a call was counted which never reached its endpoint. */
    void uncount() {
        mSent--;
    }

    /** Notes that an engine has read the prompt. */
    void readAccepted() {
        mReadAccepted = true;
    }

    /** Takes a repeat from the budget without using it yet; returns whether there was one. */
    boolean tryRepeat(long nowMillis) {
        return !isExhausted()
                && mContext.retries().of(mService).tryRepeat(mContext.state().vmCount(), nowMillis);
    }

    /** Notes that the next call has been allowed by {@link #tryRepeat}. */
    void payRepeat() {
        mPaid++;
    }

    /** Pays for the next call as far as it has to; returns whether it is allowed. */
    boolean tryPayNext(long nowMillis) {
        int needed = mSent - (mReadAccepted ? 1 : 0);
        while (mPaid < needed) {
            if (!tryRepeat(nowMillis)) {
                return false;
            }
            mPaid++;
        }
        return true;
    }
}
