package org.vanilladoor.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MalformedChunkCodingException;
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

/**
 * One request of a caller and its answer.
 *
 * <p>The request is handed over once its body has been read. Invariants: at most one answer is
 * sent; nothing is sent after the end; what the caller does not read is kept up to a limit, past
 * which the connection is closed. HttpCore calls it from its thread and the control thread answers
 * through it; shared state is guarded by this object.
 */
public final class FrontExchange implements AsyncServerExchangeHandler {
    /** Bytes that wait for a caller who does not read; the answer of a model is far smaller. */
    private static final int MAXIMUM_UNSENT_BYTES = 4 * 1024 * 1024;

    private static final String MALFORMED =
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private static final Logger LOG = LogManager.getLogger(FrontExchange.class);
    private final ControlLoop mControl;
    private final WatchedSession mSession;
    private final int mMaximumBodyBytes;
    private final Consumer<FrontExchange> mArrived;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final Deque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private HttpRequest mRequest;
    private ResponseChannel mResponses;
    private HttpContext mContext;
    private DataStreamChannel mOutput;
    private Runnable mOnGone = () -> {};
    private int mUnsentBytes;
    private boolean mTooLarge;
    private boolean mAnswered;
    private boolean mEnded;
    private boolean mEndSent;
    private boolean mGone;

    FrontExchange(
            ControlLoop control,
            WatchedSession session,
            int maximumBodyBytes,
            Consumer<FrontExchange> arrived) {
        mControl = control;
        mSession = session;
        mMaximumBodyBytes = maximumBodyBytes;
        mArrived = arrived;
    }

    /** Returns the head of the request. */
    public HttpRequest request() {
        return mRequest;
    }

    /** Returns the body of the request. */
    public byte[] body() {
        return mBody.toByteArray();
    }

    /** Returns whether the body was larger than allowed; it is not kept then. */
    public boolean isTooLarge() {
        return mTooLarge;
    }

    /** Calls the action on the control thread once the connection ends before the answer does. */
    public void onGone(Runnable action) {
        boolean already;
        synchronized (this) {
            mOnGone = action;
            already = mGone;
        }
        if (already) {
            mControl.execute(action);
        }
    }

    /** Sends a whole answer. */
    public void respond(HttpResponse head, byte[] body) {
        if (!start(head, new BasicEntityDetails(body.length, null), ByteBuffer.wrap(body), true)) {
            LOG.debug("front: An answer had nobody to go to.");
        }
    }

    /** Begins an answer of unknown length. */
    public void startStream(HttpResponse head, byte[] first) {
        start(head, new BasicEntityDetails(-1, null), ByteBuffer.wrap(first), false);
    }

    /** Sends more of an answer that was begun. */
    public void write(byte[] bytes) {
        boolean overflow;
        synchronized (this) {
            if (mGone || mEnded) {
                return;
            }
            mUnsent.add(ByteBuffer.wrap(bytes));
            mUnsentBytes += bytes.length;
            overflow = mUnsentBytes > MAXIMUM_UNSENT_BYTES;
        }
        if (overflow) {
            LOG.warn("front: A caller does not read; its connection is closed.");
            abort();
        } else {
            requestOutput();
        }
    }

    /** Ends an answer that was begun. */
    public void end() {
        synchronized (this) {
            mEnded = true;
        }
        requestOutput();
    }

    /** Closes the connection, so that an unfinished answer can't look complete. */
    public void abort() {
        synchronized (this) {
            // Nothing more may be sent, least of all the mark of a complete answer.
            mGone = true;
            mUnsent.clear();
            mUnsentBytes = 0;
        }
        mSession.close(CloseMode.GRACEFUL);
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            EntityDetails entity,
            ResponseChannel responses,
            HttpContext context)
            throws HttpException, IOException {
        mSession.onEnd(this::callerClosed);
        mRequest = request;
        mResponses = responses;
        mContext = context;
        if (entity == null) {
            mControl.execute(() -> mArrived.accept(this));
        } else if (request.containsHeader(HttpHeaders.EXPECT)) {
            responses.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), context);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) {
        if (mTooLarge || mBody.size() + source.remaining() > mMaximumBodyBytes) {
            mTooLarge = true;
            mBody.reset();
            source.position(source.limit());
            return;
        }
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        mBody.write(bytes, 0, bytes.length);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        mControl.execute(() -> mArrived.accept(this));
    }

    @Override
    public int available() {
        synchronized (this) {
            boolean endIsDue = mEnded && !mEndSent && !mGone;
            return mUnsentBytes > 0 || endIsDue ? Math.max(1, mUnsentBytes) : 0;
        }
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        synchronized (this) {
            mOutput = channel;
            if (mGone) {
                return;
            }
            while (!mUnsent.isEmpty()) {
                ByteBuffer next = mUnsent.peek();
                int written = channel.write(next);
                mUnsentBytes -= Math.max(0, written);
                if (next.hasRemaining()) {
                    return;
                }
                mUnsent.poll();
            }
            if (mEnded && !mEndSent) {
                mEndSent = true;
                channel.endStream(null);
            }
        }
    }

    @Override
    public void failed(Exception cause) {
        if (cause instanceof MalformedChunkCodingException) {
            sendMalformed();
        }
        gone();
    }

    /** HttpCore closes after a broken chunk; the caller is told why while it still can be. */
    private void sendMalformed() {
        synchronized (this) {
            if (mAnswered || mGone) {
                return;
            }
            mAnswered = true;
        }
        try {
            mSession.write(ByteBuffer.wrap(MALFORMED.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            LOG.debug("front: A caller was gone before it could be told: {}.", e.getMessage());
        }
    }

    @Override
    public void releaseResources() {
        gone();
    }

    /** The caller waits no more, though HttpCore would still send it the answer. */
    private void callerClosed() {
        gone();
        mSession.close(CloseMode.GRACEFUL);
    }

    private void gone() {
        Runnable action;
        synchronized (this) {
            if (mGone) {
                return;
            }
            mGone = true;
            action = mEndSent ? () -> {} : mOnGone;
            mUnsent.clear();
        }
        mControl.execute(action);
    }

    private boolean start(HttpResponse head, EntityDetails entity, ByteBuffer first, boolean last) {
        synchronized (this) {
            if (mGone || mAnswered) {
                return false;
            }
            mAnswered = true;
            mEnded = last;
            mUnsentBytes = first.remaining();
            if (first.hasRemaining()) {
                mUnsent.add(first);
            }
        }
        try {
            mResponses.sendResponse(head, entity, mContext);
            return true;
        } catch (HttpException | IOException e) {
            LOG.debug("front: An answer could not be sent: {}.", e.getMessage());
            gone();
            return false;
        }
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
