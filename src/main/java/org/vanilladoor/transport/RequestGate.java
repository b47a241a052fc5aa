package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.vanilladoor.common.CallerActivity;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;

/**
 * Holds back a caller's next request until the response to the one before has been written.
 *
 * <p>HttpCore would read on, and keep a head, a task and a response for each request that was sent
 * ahead. Invariants: a connection has at most one request whose response is not written, and at
 * most one input buffer of further ones; what a large head takes is charged to the budget. Confined
 * to the I/O thread.
 */
final class RequestGate implements Http1StreamListener {
    /**
     * Memory of a head that is not charged, as of one with ten lines; the number of connections
     * bounds it.
     */
    private static final int ORDINARY_HEAD_BYTES = 4 * 1024;

    private final Http1StreamListener mListener;
    private final CallerActivity mActivity;
    private final MemoryBudget.Account mHead;
    private boolean mResponsePending;
    private boolean mHasInput;

    private RequestGate(
            Http1StreamListener listener, CallerActivity activity, MemoryBudget.Account head) {
        mListener = listener;
        mActivity = activity;
        mHead = head;
    }

    /**
     * Returns the gate of a new connection.
     *
     * @param listener receives the events as well
     * @param activity records what the connection does
     */
    static RequestGate create(
            Http1StreamListener listener, CallerActivity activity, MemoryBudget memory) {
        return new RequestGate(listener, activity, memory.open(MemoryBudget.Use.REQUEST_HEAD));
    }

    /** Returns whether no request may be read now. */
    boolean isClosed() {
        return mResponsePending;
    }

    /** Records whether there is input that {@link #isClosed} keeps from being read. */
    void setHasInput(boolean hasInput) {
        mHasInput = hasInput;
        mActivity.setReadAhead(hasInput);
    }

    /** Returns whether enough has been read ahead. */
    boolean holdsInput() {
        return mResponsePending && mHasInput;
    }

    /** Returns, once, whether input that was held back can be read now. */
    boolean takeReleasedInput() {
        boolean isReleased = !mResponsePending && mHasInput;
        if (isReleased) {
            setHasInput(false);
        }
        return isReleased;
    }

    /** Charges what a head takes beyond an ordinary one, if there is room. */
    boolean tryHoldHead(long bytes) {
        return mHead.tryResize(Math.max(0, bytes - ORDINARY_HEAD_BYTES));
    }

    /** Gives the memory back, since the connection has ended. */
    void release() {
        mHead.close();
    }

    @Override
    public void onRequestHead(HttpConnection connection, HttpRequest request) {
        mResponsePending = true;
        mActivity.startRequest(MonotonicClock.nowMillis());
        mListener.onRequestHead(connection, request);
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {
        mListener.onResponseHead(connection, response);
    }

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        mResponsePending = false;
        mHead.resize(0);
        mActivity.completeResponse(MonotonicClock.nowMillis());
        mListener.onExchangeComplete(connection, keepAlive);
    }
}
