package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.vanilladoor.common.ControlLoop;

/**
 * One call to another process, on one connection.
 *
 * <p>Invariants: the request is sent at most once; its connection is used again only after a whole
 * answer. HttpCore calls it from its thread; {@link #abandon} and the listener belong to the
 * control thread.
 */
public final class OutgoingCall implements AsyncClientExchangeHandler {
    private final ControlLoop mControl;
    private final HttpRequest mRequest;
    private final ByteBuffer mBody;
    private final OutgoingListener mListener;
    private final ConnectionPool mLinks;
    private ConnectionPool.Link mLink;
    private boolean mDone;
    private boolean mKeepConnection = true;
    private final Object mSending = new Object();
    private boolean mSent;
    private boolean mAbandoned;

    OutgoingCall(
            ControlLoop control,
            ConnectionPool links,
            HttpRequest request,
            byte[] body,
            OutgoingListener listener) {
        mControl = control;
        mLinks = links;
        mRequest = request;
        mBody = ByteBuffer.wrap(body);
        mListener = listener;
    }

    /** Gives the call up and closes its connection, which ends the work at the other side. */
    public void abandon() {
        synchronized (mSending) {
            mAbandoned = true;
        }
        if (!mDone) {
            mDone = true;
            discardLink();
        }
    }

    /**
     * Returns whether any of the request may have reached the other side.
     *
     * <p>Final once the call has been abandoned.
     */
    public boolean isSent() {
        synchronized (mSending) {
            return mSent;
        }
    }

    void sendOn(ConnectionPool.Link link) {
        if (mDone) {
            mLinks.release(link);
            return;
        }
        mLink = link;
        link.execute(this);
    }

    void connectFailed(String reason) {
        fail(reason);
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        synchronized (mSending) {
            if (mAbandoned) {
                throw new ConnectionClosedException("the call was abandoned before it was sent");
            }
            mSent = true;
        }
        boolean empty = !mBody.hasRemaining();
        channel.sendRequest(
                mRequest, empty ? null : new BasicEntityDetails(mBody.remaining(), null), context);
    }

    @Override
    public int available() {
        return mBody.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        channel.write(mBody);
        if (!mBody.hasRemaining()) {
            channel.endStream();
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim answers say nothing of the outcome.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        boolean whole = entity == null;
        mControl.execute(
                () -> {
                    if (mDone) {
                        return;
                    }
                    mKeepConnection &= mayKeep(response);
                    mListener.onHead(response);
                    if (whole) {
                        end();
                    }
                });
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) {
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        mControl.execute(
                () -> {
                    if (!mDone) {
                        mListener.onData(bytes);
                    }
                });
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        mControl.execute(this::end);
    }

    @Override
    public void failed(Exception cause) {
        mControl.execute(() -> fail(cause.toString()));
    }

    @Override
    public void cancel() {
        failed(new ConnectionClosedException("the call was cancelled"));
    }

    @Override
    public void releaseResources() {
        // A connection that closes without an error and without an answer ends here only.
        mControl.execute(() -> fail("the connection was closed"));
    }

    private void end() {
        if (mDone) {
            return;
        }
        mDone = true;
        if (mKeepConnection) {
            mLinks.release(mLink);
        } else {
            discardLink();
        }
        mListener.onComplete();
    }

    private void fail(String reason) {
        if (mDone) {
            return;
        }
        mDone = true;
        boolean reused = mLink != null && mLink.isReused();
        discardLink();
        mListener.onFailure(new CallFailure(isSent(), reused, reason));
    }

    private void discardLink() {
        if (mLink != null) {
            mLinks.discard(mLink);
            mLink = null;
        }
    }

    private static boolean mayKeep(HttpResponse response) {
        return Arrays.stream(response.getHeaders(HttpHeaders.CONNECTION))
                .map(header -> header.getValue().toLowerCase(Locale.ROOT))
                .noneMatch(value -> value.contains(HeaderElements.CLOSE));
    }
}
