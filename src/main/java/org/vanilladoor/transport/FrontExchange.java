package org.vanilladoor.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MemoryBudget;

/**
 * One request of a caller and its response.
 *
 * <p>The request is passed to the receiver once its body has been read, or can't be kept.
 * Invariants: at most one response is sent; nothing is sent after its end; what can't be sent as a
 * response, because another has begun or any step of sending it fails, closes the connection, so
 * that the caller sees an end; such a failure is thrown to the sender after that. Unread output is
 * buffered up to a limit, beyond which the connection is closed, too. HttpCore calls the handler
 * methods on its own thread, the control thread sends the response; state shared by the two is
 * guarded by this object.
 */
public final class FrontExchange implements AsyncServerExchangeHandler {
    /** Maximum output buffered for a slow caller. */
    private static final int MAXIMUM_UNSENT_BYTES = 4 * 1024 * 1024;

    private static final String MALFORMED_RESPONSE =
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private static final Runnable NO_ACTION = () -> {};
    private static final Logger LOG = LogManager.getLogger(FrontExchange.class);
    private final ControlLoop mControl;
    private final CloseDetectingSession mSession;
    private final Consumer<FrontExchange> mReceiver;
    private final RequestBody mBody;
    private final CallerOutput mUnsent;
    private final AtomicInteger mOpenExchanges;
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private HttpRequest mRequest;
    private ResponseChannel mResponseChannel;
    private HttpContext mContext;
    private DataStreamChannel mOutput;
    private Runnable mOnDisconnect = NO_ACTION;
    private Runnable mOnDrained = NO_ACTION;
    private boolean mPassedToReceiver;
    private boolean mRequestEnded;
    private Runnable mDeferred = NO_ACTION;
    private ResponseState mResponse = ResponseState.NOT_STARTED;
    private boolean mEndSent;
    private boolean mDisconnected;

    FrontExchange(
            ControlLoop control,
            MemoryBudget memory,
            CloseDetectingSession session,
            int maximumBodyBytes,
            Consumer<FrontExchange> receiver,
            AtomicInteger openExchanges) {
        mOpenExchanges = openExchanges;
        mOpenExchanges.incrementAndGet();
        mControl = control;
        mBody = RequestBody.create(maximumBodyBytes, memory);
        mUnsent = CallerOutput.create(memory);
        mSession = session;
        mReceiver = receiver;
    }

    /** Returns the head of the request. */
    public HttpRequest request() {
        return mRequest;
    }

    /** Returns the body of the request, which must not be modified. */
    public byte[] body() {
        return mBody.toByteArray();
    }

    /** Returns why the body was not kept, if so; in that case {@link #body} is empty. */
    public Optional<BodyRejection> bodyRejection() {
        return mBody.rejection();
    }

    /**
     * Sets an action to run on the control thread if the connection closes before the response has
     * ended. Runs it immediately if that has already happened.
     */
    public void onDisconnect(Runnable action) {
        boolean isAlreadyDisconnected;
        synchronized (this) {
            mOnDisconnect = action;
            isAlreadyDisconnected = mDisconnected;
        }
        if (isAlreadyDisconnected) {
            mControl.execute(action);
        }
    }

    /** Sends a complete response. */
    public void respond(HttpResponse head, byte[] body) {
        startResponse(
                head,
                new BasicEntityDetails(body.length, null),
                ByteBuffer.wrap(body),
                ResponseState.ENDED);
    }

    /** Starts a response of unknown length. */
    public void startStream(HttpResponse head, byte[] firstBytes) {
        startResponse(
                head,
                new BasicEntityDetails(-1, null),
                ByteBuffer.wrap(firstBytes),
                ResponseState.STREAMING);
    }

    /** Sends more of a response started with {@link #startStream}. */
    public void write(byte[] bytes) {
        closeOnFailure(() -> addOutput(bytes));
    }

    private void addOutput(byte[] bytes) {
        if (!tryAdvance(ResponseState.STREAMING, ResponseState.STREAMING)) {
            return;
        }
        boolean isOverflowing;
        synchronized (this) {
            mUnsent.add(ByteBuffer.wrap(bytes));
            isOverflowing = mUnsent.bytes() > MAXIMUM_UNSENT_BYTES;
        }
        if (isOverflowing) {
            LOG.warn("front: Closing a connection whose caller leaves too much output unread.");
            disconnect();
        } else {
            requestOutput();
        }
    }

    /** Returns whether the caller has left so much unread that no more should be written. */
    public synchronized boolean isBacklogged() {
        return mUnsent.isBacklogged();
    }

    /** Runs the action on the control thread once the exchange is no longer backlogged. */
    public void whenDrained(Runnable action) {
        synchronized (this) {
            if (isBacklogged()) {
                mOnDrained = action;
                return;
            }
        }
        mControl.execute(action);
    }

    /** Ends a response started with {@link #startStream}. */
    public void end() {
        closeOnFailure(
                () -> {
                    if (tryAdvance(ResponseState.STREAMING, ResponseState.ENDED)) {
                        requestOutput();
                    }
                });
    }

    /** Closes the connection, so that the caller can detect that the response is incomplete. */
    public void abort() {
        synchronized (this) {
            // Nothing more may be sent, in particular not the terminating chunk.
            mDisconnected = true;
            mUnsent.clear();
        }
        mSession.close(closeMode());
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            EntityDetails entity,
            ResponseChannel responseChannel,
            HttpContext context)
            throws HttpException, IOException {
        // HttpCore would still send the response after the caller has closed its side.
        mSession.onCallerClosed(this::disconnect);
        mRequest = request;
        mResponseChannel = responseChannel;
        mContext = context;
        if (entity != null) {
            mBody.announce(entity.getContentLength());
        } else {
            mRequestEnded = true;
        }
        if (entity == null || mBody.rejection().isPresent()) {
            passOn();
        } else if (request.containsHeader(HttpHeaders.EXPECT)) {
            responseChannel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), context);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) {
        mBody.add(source);
        if (mBody.rejection().isPresent()) {
            passOn();
        }
        if (mBody.mayBeEndless()) {
            LOG.warn("front: Closing a connection with a body that may have no end.");
            disconnect();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        Runnable deferred;
        synchronized (this) {
            mRequestEnded = true;
            deferred = mDeferred;
        }
        passOn();
        closeOnFailure(deferred);
    }

    /** Passes the request to the receiver, once, from the I/O thread. */
    private void passOn() {
        if (!mPassedToReceiver) {
            mPassedToReceiver = true;
            mControl.execute(() -> closeOnFailure(() -> mReceiver.accept(this)));
        }
    }

    @Override
    public int available() {
        synchronized (this) {
            boolean isEndPending = mResponse == ResponseState.ENDED && !mEndSent && !mDisconnected;
            return isEndPending ? Math.max(1, mUnsent.bytes()) : mUnsent.bytes();
        }
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        Runnable onDrained = NO_ACTION;
        synchronized (this) {
            mOutput = channel;
            if (mDisconnected) {
                return;
            }
            mUnsent.writeTo(channel);
            if (!isBacklogged()) {
                onDrained = mOnDrained;
                mOnDrained = NO_ACTION;
            }
            if (mUnsent.bytes() == 0 && mResponse == ResponseState.ENDED && !mEndSent) {
                mEndSent = true;
                channel.endStream(null);
            }
        }
        if (onDrained != NO_ACTION) {
            mControl.execute(onDrained);
        }
    }

    @Override
    public void failed(Exception cause) {
        if (cause instanceof MalformedChunkCodingException) {
            sendMalformedResponse();
        }
        handleDisconnect();
    }

    /** Sends a 400 response after a malformed chunk and closes the connection. */
    private void sendMalformedResponse() {
        synchronized (this) {
            if (mResponse != ResponseState.NOT_STARTED || mDisconnected) {
                return;
            }
            mResponse = ResponseState.ENDED;
            mEndSent = true;
        }
        try {
            mSession.write(ByteBuffer.wrap(MALFORMED_RESPONSE.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            LOG.debug(
                    "front: The response to a malformed chunk could not be sent: {}.",
                    e.getMessage());
        }
        // HttpCore would reset the connection, and with it what the caller has not read.
        mSession.close(CloseMode.GRACEFUL);
    }

    @Override
    public void releaseResources() {
        if (mReleased.compareAndSet(false, true)) {
            mOpenExchanges.decrementAndGet();
            mBody.release();
            mUnsent.release();
        }
        handleDisconnect();
    }

    /** Closes the connection and reports that to the owner of the response. */
    private void disconnect() {
        try {
            handleDisconnect();
        } finally {
            mSession.close(closeMode());
        }
    }

    /**
     * Runs a step of the exchange; one that fails closes the connection, since it is not known how
     * much of a response HttpCore has taken.
     */
    private void closeOnFailure(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.warn(
                    "front: Closing a connection after a failure: {}.",
                    e.toString(),
                    e instanceof UncheckedIOException ? null : e);
            disconnect();
            throw e;
        }
    }

    /** A response without chunks ends with its connection, so that only a reset cuts it off. */
    private synchronized CloseMode closeMode() {
        ProtocolVersion version = mRequest.getVersion();
        boolean hasChunks = version == null || version.greaterEquals(HttpVersion.HTTP_1_1);
        return mResponse == ResponseState.STREAMING && !hasChunks
                ? CloseMode.IMMEDIATE
                : CloseMode.GRACEFUL;
    }

    private void handleDisconnect() {
        Runnable action;
        synchronized (this) {
            if (mDisconnected) {
                return;
            }
            mDisconnected = true;
            action = mEndSent ? NO_ACTION : mOnDisconnect;
            mUnsent.clear();
        }
        mControl.execute(action);
    }

    private void startResponse(
            HttpResponse head, EntityDetails entity, ByteBuffer firstBytes, ResponseState next) {
        closeOnFailure(
                () -> {
                    synchronized (this) {
                        if (!tryAdvance(ResponseState.NOT_STARTED, next)) {
                            return;
                        }
                        mUnsent.add(firstBytes);
                    }
                    if (!tryDefer(head, entity)) {
                        send(head, entity);
                    }
                });
    }

    /**
     * Keeps a response that ends the connection until the request has been read; closing it earlier
     * would reset it, and the caller might not get the response. A caller that waits for an interim
     * response sends nothing more.
     */
    private synchronized boolean tryDefer(HttpResponse head, EntityDetails entity) {
        boolean isDeferred =
                !mRequestEnded
                        && !mRequest.containsHeader(HttpHeaders.EXPECT)
                        && !(MessageFraming.keepsConnection(mRequest)
                                && MessageFraming.keepsConnection(head));
        if (isDeferred) {
            mDeferred = () -> send(head, entity);
        }
        return isDeferred;
    }

    private void send(HttpResponse head, EntityDetails entity) {
        try {
            mResponseChannel.sendResponse(head, entity, mContext);
        } catch (HttpException | IOException e) {
            throw new UncheckedIOException(new IOException("the response can't be sent", e));
        }
    }

    /**
     * Advances the response. If it has begun otherwise, or not at all, its connection is closed.
     *
     * @return whether the response has advanced
     */
    private boolean tryAdvance(ResponseState from, ResponseState to) {
        synchronized (this) {
            if (mDisconnected) {
                return false;
            }
            if (mResponse == from) {
                mResponse = to;
                return true;
            }
            LOG.warn("front: A response can't go from {} to {}.", mResponse, to);
            if (mResponse == ResponseState.ENDED) {
                return false;
            }
        }
        abort();
        return false;
    }

    private void requestOutput() {
        DataStreamChannel output;
        synchronized (this) {
            output = mOutput;
        }
        if (output != null) {
            output.requestOutput();
        }
    }
}
