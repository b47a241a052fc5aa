package org.vanilladoor.transport;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.PieceBuffer;
import org.vanilladoor.common.SendPermit;

/**
 * The request and the response of a call on one connection.
 *
 * <p>Invariants: the request is sent at most once, only within its permit, and only while no byte
 * that belongs to no response has arrived on the connection. HttpCore calls the handler methods on
 * its own thread; the call is notified on the control thread. No more than {@link #WINDOW_BYTES} of
 * the body and what one read brings wait for it. Whether the request was sent, and the input, are
 * guarded by locks.
 */
final class OutgoingExchange implements AsyncClientExchangeHandler {
    /** Bytes that the peer may send before they are handled. */
    static final int WINDOW_BYTES = 64 * 1024;

    /** Each return wakes up the I/O thread. */
    private static final int MINIMUM_RETURNED_BYTES = WINDOW_BYTES / 2;

    /** Part of a body passed to a socket at once; the JDK copies all that it is given. */
    private static final int MAXIMUM_WRITE_BYTES = 64 * 1024;

    private final ControlLoop mControl;
    private final OutgoingCall mCall;
    private final ConnectionPool.PooledConnection mConnection;
    private final HttpRequest mRequest;
    private final ByteBuffer mBody;
    private final MemoryBudget.Account mInputAccount;
    private final SendPermit mPermit;

    /** Input that the control thread has not handled; guards the following two fields, too. */
    private final PieceBuffer mInput = PieceBuffer.create();

    private CapacityChannel mCapacity;
    private int mReturnableBytes;
    private final Object mSendLock = new Object();
    private boolean mSent;
    private boolean mMayNotBeSent;

    /** Whether the whole request was handed to the connection; used on HttpCore's thread only. */
    private boolean mRequestComplete;

    /** Whether the response has neither a length nor chunks; used on HttpCore's thread only. */
    private boolean mEndsWithConnection;

    /** Whether any of the body has arrived; used on HttpCore's thread only. */
    private boolean mHasBody;

    private OutgoingExchange(
            ControlLoop control,
            OutgoingCall call,
            ConnectionPool.PooledConnection connection,
            HttpRequest request,
            byte[] body,
            MemoryBudget.Account inputAccount,
            SendPermit permit) {
        mControl = control;
        mCall = call;
        mConnection = connection;
        mRequest = request;
        mBody = ByteBuffer.wrap(body);
        mInputAccount = inputAccount;
        mPermit = permit;
    }

    static OutgoingExchange create(
            ControlLoop control,
            OutgoingCall call,
            ConnectionPool.PooledConnection connection,
            HttpRequest request,
            byte[] body,
            MemoryBudget.Account inputAccount,
            SendPermit permit) {
        return new OutgoingExchange(control, call, connection, request, body, inputAccount, permit);
    }

    /** Prevents that the request is sent, unless it has been; {@link #isSent} is final then. */
    void preventSending() {
        synchronized (mSendLock) {
            mMayNotBeSent = true;
        }
    }

    boolean isSent() {
        synchronized (mSendLock) {
            return mSent;
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        mConnection.boundary().requireNoInput();
        synchronized (mSendLock) {
            if (mMayNotBeSent) {
                throw new ConnectionClosedException("the call was abandoned before it was sent");
            }
            requirePermit();
            if (mPermit != SendPermit.UNLIMITED) {
                mConnection.boundary().resetOnClose();
            }
            mSent = true;
        }
        boolean empty = !mBody.hasRemaining();
        mRequestComplete = empty;
        channel.sendRequest(
                mRequest, empty ? null : new BasicEntityDetails(mBody.remaining(), null), context);
    }

    /** Fails with an exception for which HttpCore resets the connection. */
    private void requirePermit() throws IOException {
        if (!mPermit.isValid()) {
            throw new InterruptedIOException("the permission to send the call has ended");
        }
    }

    @Override
    public int available() {
        return mBody.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        int count;
        do {
            requirePermit();
            int size = Math.min(mBody.remaining(), MAXIMUM_WRITE_BYTES);
            ByteBuffer part = mBody.slice(mBody.position(), size);
            channel.write(part);
            count = part.position();
            mBody.position(mBody.position() + count);
        } while (count > 0 && mBody.hasRemaining());
        if (!mBody.hasRemaining()) {
            channel.endStream();
            mRequestComplete = true;
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim (1xx) responses do not affect the outcome.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        boolean isComplete = entity == null;
        mEndsWithConnection = ResponseFraming.endsWithConnection(response);
        mControl.execute(() -> mCall.onHead(this, response));
        if (isComplete) {
            end();
        }
    }

    /** Called when the peer has sent as much as it may until input has been handled. */
    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        synchronized (mInput) {
            mCapacity = capacity;
        }
        returnCapacity(0);
    }

    /** Lets the peer send further bytes in place of those that have been handled. */
    void returnCapacity(int bytes) throws IOException {
        CapacityChannel capacity;
        int returnedBytes;
        synchronized (mInput) {
            mReturnableBytes += bytes;
            if (mCapacity == null || mReturnableBytes < MINIMUM_RETURNED_BYTES) {
                return;
            }
            capacity = mCapacity;
            returnedBytes = mReturnableBytes;
            mReturnableBytes = 0;
        }
        capacity.update(returnedBytes);
    }

    @Override
    public void consume(ByteBuffer source) {
        mHasBody |= source.hasRemaining();
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        boolean isFirst;
        synchronized (mInput) {
            isFirst = mInput.size() == 0;
            mInput.add(bytes);
            mInputAccount.resize(mInput.size());
        }
        if (isFirst) {
            mControl.execute(this::handleInput);
        }
    }

    /** Passes the input that has arrived to the call; on the control thread. */
    private void handleInput() {
        byte[] bytes;
        synchronized (mInput) {
            bytes = mInput.toByteArray();
            mInput.clear();
            mInputAccount.resize(0);
        }
        mCall.onData(this, bytes);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        // An empty body that only the end of the connection delimits may as well be missing.
        if (mEndsWithConnection && !mHasBody) {
            failed(new ConnectionClosedException("the connection was closed after the head"));
            return;
        }
        end();
    }

    /** Reports the end of the response; the peer may not have read the whole request yet. */
    private void end() {
        boolean isRequestComplete = mRequestComplete;
        mControl.execute(() -> mCall.onEnd(this, isRequestComplete));
    }

    @Override
    public void failed(Exception cause) {
        mControl.execute(() -> mCall.onFailure(this, cause.toString()));
    }

    @Override
    public void cancel() {
        failed(new ConnectionClosedException("the call was cancelled"));
    }

    @Override
    public void releaseResources() {
        mInputAccount.close();
        // If the connection closes without an error or a response, this is the only callback.
        mControl.execute(() -> mCall.onFailure(this, "the connection was closed"));
    }
}
