package org.vanilladoor.gateway;

import org.vanilladoor.common.MonotonicClock;

/**
 * Dispatches a request from the wait queue, or abandons it.
 *
 * <p>Invariant: a failure ends the request and not the dispatching of others. Confined to the
 * control thread.
 */
final class QueuedExecution implements WaitQueue.Attempt {
    private final RequestExecution mExecution;

    QueuedExecution(RequestExecution execution) {
        mExecution = execution;
    }

    @Override
    public boolean tryDispatch() {
        try {
            return mExecution.tryStartQueued();
        } catch (RuntimeException | Error e) {
            mExecution.endAfterFailure(e);
            return true;
        }
    }

    /** A request that needs much memory lets others pass in the first half of its time. */
    @Override
    public boolean blocksOthers() {
        RequestProgress progress = mExecution.progress();
        long halfTimeMillis = (progress.arrivedMillis() + progress.deadlineMillis()) / 2;
        try {
            return MonotonicClock.nowMillis() > halfTimeMillis || !mExecution.isOutOfMemory();
        } catch (RuntimeException | Error e) {
            mExecution.endAfterFailure(e);
            return false;
        }
    }

    @Override
    public void abandon(int ahead, long turnMillis) {
        String reason =
                "a prefill engine would have room in %d ms, after %d other requests"
                        .formatted(turnMillis, ahead);
        if (!mExecution.isDone()) {
            mExecution.runStep(() -> mExecution.endWithoutTurn(reason));
        }
    }
}
