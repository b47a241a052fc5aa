package org.vanilladoor.transport;

import java.io.IOException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.SendPermit;

/**
 * One HTTP call to another process.
 *
 * <p>Invariants: the request is sent at most once, over one connection; a kept connection that
 * turns out to be unusable before anything was sent is replaced by a new one. The connection is
 * reused only after a complete request and a complete response. Confined to the control thread.
 */
public final class OutgoingCall implements ConnectionPool.ConnectListener {
    private static final Logger LOG = LogManager.getLogger(OutgoingCall.class);
    private final ControlLoop mControl;
    private final ConnectionPool mPool;
    private final HostPort mAddress;
    private final long mConnectTimeoutMillis;
    private final HttpRequest mRequest;
    private final byte[] mBody;
    private final SendPermit mPermit;
    private final OutgoingListener mListener;
    private ConnectionPool.PooledConnection mConnection;
    private OutgoingExchange mExchange;
    private boolean mDone;
    private boolean mPaused;
    private int mUnreturnedBytes;
    private boolean mKeepConnection = true;

    OutgoingCall(
            ControlLoop control,
            ConnectionPool pool,
            HostPort address,
            long connectTimeoutMillis,
            HttpRequest request,
            byte[] body,
            SendPermit permit,
            OutgoingListener listener) {
        mControl = control;
        mPool = pool;
        mAddress = address;
        mConnectTimeoutMillis = connectTimeoutMillis;
        mRequest = request;
        mBody = body;
        mPermit = permit;
        mListener = listener;
    }

    /** Abandons the call and resets its connection, which makes the peer cancel the work. */
    public void abandon() {
        if (mExchange != null) {
            mExchange.preventSending();
        }
        if (!mDone) {
            mDone = true;
            resetConnection();
        }
    }

    /** Lets the peer send no more than a window of its response until {@link #resumeReading}. */
    public void pauseReading() {
        mPaused = true;
    }

    /** Lets the peer send the rest of its response. */
    public void resumeReading() {
        mPaused = false;
        returnCapacity();
    }

    /**
     * Returns whether any of the request may have reached the peer.
     *
     * <p>The result no longer changes once the call has been abandoned.
     */
    public boolean isSent() {
        return mExchange != null && mExchange.isSent();
    }

    @Override
    public void onConnected(ConnectionPool.PooledConnection connection) {
        if (mDone) {
            mPool.release(connection);
            return;
        }
        mConnection = connection;
        mExchange =
                OutgoingExchange.create(
                        mControl,
                        this,
                        connection,
                        mRequest,
                        mBody,
                        mPool.openInputAccount(),
                        mPermit);
        connection.execute(mExchange);
    }

    @Override
    public void onFailed(ConnectionPool.Reachability reachability, String reason) {
        fail(reachability == ConnectionPool.Reachability.REFUSED, reason);
    }

    void onHead(OutgoingExchange exchange, HttpResponse response) {
        if (!isOver(exchange)) {
            mKeepConnection &= ResponseFraming.allowsReuseAfter(response);
            mListener.onHead(response);
        }
    }

    void onData(OutgoingExchange exchange, byte[] bytes) {
        if (!isOver(exchange)) {
            mListener.onData(bytes);
            mUnreturnedBytes += bytes.length;
            returnCapacity();
        }
    }

    private void returnCapacity() {
        if (mPaused || mDone) {
            return;
        }
        try {
            mExchange.returnCapacity(mUnreturnedBytes);
        } catch (IOException e) {
            LOG.debug("links: A connection takes no capacity: {}.", e.toString());
        }
        mUnreturnedBytes = 0;
    }

    void onEnd(OutgoingExchange exchange, boolean isRequestComplete) {
        if (isOver(exchange)) {
            return;
        }
        mDone = true;
        try {
            if (mKeepConnection && isRequestComplete) {
                mPool.release(mConnection);
            } else {
                discardConnection();
            }
        } finally {
            mListener.onComplete();
        }
    }

    void onFailure(OutgoingExchange exchange, String reason) {
        if (isOver(exchange)) {
            return;
        }
        exchange.preventSending();
        if (!exchange.isSent() && mConnection.isReused()) {
            discardConnection();
            mPool.connect(mAddress, mConnectTimeoutMillis, this);
        } else {
            fail(false, reason);
        }
    }

    /** Returns whether the call has ended or goes on over another connection. */
    private boolean isOver(OutgoingExchange exchange) {
        return mDone || mConnection == null || exchange != mExchange;
    }

    private void fail(boolean isRefused, String reason) {
        if (mDone) {
            return;
        }
        mDone = true;
        boolean reused = mConnection != null && mConnection.isReused();
        try {
            resetConnection();
        } finally {
            mListener.onFailure(new CallFailure(isSent(), reused, isRefused, reason));
        }
    }

    private void resetConnection() {
        if (mConnection != null) {
            mPool.reset(mConnection);
            mConnection = null;
        }
    }

    private void discardConnection() {
        if (mConnection != null) {
            mPool.discard(mConnection);
            mConnection = null;
        }
    }
}
