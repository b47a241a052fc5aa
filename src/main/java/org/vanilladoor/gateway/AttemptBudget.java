package org.vanilladoor.gateway;

import java.util.function.IntSupplier;

/**
 * Counts the calls that one request makes to endpoints and charges further calls to the retry
 * budget of its service.
 *
 * <p>Free are the first call that reaches an endpoint and, beside a run, the first prefill that an
 * engine accepts. A second prefill is charged even if no run has reached an endpoint yet; so is a
 * call that its endpoint rejects, unless it is the first. Invariant: no call is sent that is
 * neither free nor covered by an acquired retry. Time is passed in as an argument. Confined to the
 * control thread.
 */
final class AttemptBudget {
    /** Maximum number of calls for one request, whatever the retry budget still allows. */
    private static final int MAXIMUM_CALLS = 5;

    private final LocalRetryBudget mRetryBudget;
    private final IntSupplier mVmCount;
    private final GatewayMetrics mMetrics;
    private int mCalls;
    private int mPossiblyDelivered;
    private int mPossiblyDeliveredRuns;
    private int mAcquiredRetries;
    private boolean mPrefillAccepted;

    private AttemptBudget(
            LocalRetryBudget retryBudget, IntSupplier vmCount, GatewayMetrics metrics) {
        mRetryBudget = retryBudget;
        mVmCount = vmCount;
        mMetrics = metrics;
    }

    /** Returns the budget of a request to a service that has made no call. */
    static AttemptBudget create(GatewayContext context, String service) {
        return create(
                context.retryBudgets().forService(service),
                context.state()::vmCount,
                context.metrics());
    }

    /**
     * Returns the budget of a request that has made no call.
     *
     * @param retryBudget this VM's retries for the request's service
     * @param vmCount supplies the number of VMs that may be sending requests
     * @param metrics counts granted and denied retries
     */
    static AttemptBudget create(
            LocalRetryBudget retryBudget, IntSupplier vmCount, GatewayMetrics metrics) {
        return new AttemptBudget(retryBudget, vmCount, metrics);
    }

    /** Returns the number of calls made, including calls that never reached their endpoint. */
    int calls() {
        return mCalls;
    }

    /** Returns the number of calls that never reached their endpoint. */
    int undeliveredCalls() {
        return mCalls - mPossiblyDelivered;
    }

    /** Returns the number of retries that were taken from the service's budget. */
    int acquiredRetries() {
        return mAcquiredRetries;
    }

    boolean isExhausted() {
        return mCalls >= MAXIMUM_CALLS;
    }

    /** Counts a call that is about to be sent. */
    void recordSent(EndpointCall.Stage stage) {
        mCalls++;
        mPossiblyDelivered++;
        mPossiblyDeliveredRuns += isRun(stage) ? 1 : 0;
    }

    /** Stops charging for the last call, because none of it reached the endpoint. */
    void recordUnsent(EndpointCall.Stage stage) {
        mPossiblyDelivered--;
        mPossiblyDeliveredRuns -= isRun(stage) ? 1 : 0;
    }

    /** Records that an engine completed the prefill, which makes that call free beside a run. */
    void recordPrefillAccepted() {
        mPrefillAccepted = true;
    }

    /**
     * Takes one retry from the service's budget, without assigning it to a call.
     *
     * @return whether a retry was available and this request may still make a call
     */
    boolean tryAcquireRetry(long nowMillis) {
        boolean isAcquired =
                !isExhausted() && mRetryBudget.tryAcquireRetry(mVmCount.getAsInt(), nowMillis);
        mMetrics.count(isAcquired ? "retries.granted" : "retries.denied");
        return isAcquired;
    }

    /** Assigns a retry taken by {@link #tryAcquireRetry} to the next call. */
    void recordAcquiredRetry() {
        mAcquiredRetries++;
    }

    /**
     * Takes as many retries from the budget as the next call requires, if any.
     *
     * @return whether the next call may be sent
     */
    boolean tryAcquireNextCall(EndpointCall.Stage stage, long nowMillis) {
        boolean hasRun = mPossiblyDeliveredRuns > 0 || isRun(stage);
        int neededRetries = mPossiblyDelivered - (mPrefillAccepted && hasRun ? 1 : 0);
        while (mAcquiredRetries < neededRetries) {
            if (!tryAcquireRetry(nowMillis)) {
                return false;
            }
            mAcquiredRetries++;
        }
        return true;
    }

    private static boolean isRun(EndpointCall.Stage stage) {
        return stage == EndpointCall.Stage.RUN;
    }
}
