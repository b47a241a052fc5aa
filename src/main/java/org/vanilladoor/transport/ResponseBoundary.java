package org.vanilladoor.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.NetworkChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Knows which bytes on one connection belong to a response.
 *
 * <p>Invariant: a response is due from the head of its request to its own final head; bytes that
 * arrive otherwise close the connection. Confined to the I/O thread, except {@link #reset}, which
 * any thread may call once the connection is made.
 */
final class ResponseBoundary implements Http1StreamListener {
    /** Maximum number of interim (1xx) responses to one request. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 100;

    private final Reporter mReporter;
    private final ByteBuffer mUnexpected = ByteBuffer.allocate(1);
    private IOSession mSession;
    private boolean mResponseDue;
    private int mInterimResponses;

    private ResponseBoundary(Reporter reporter) {
        mReporter = reporter;
    }

    /** Returns the boundary of a connection that has carried no call. */
    static ResponseBoundary create(Reporter reporter) {
        return new ResponseBoundary(reporter);
    }

    void bind(IOSession session) {
        mSession = session;
    }

    void setSocketTimeout(Timeout timeout) {
        mSession.setSocketTimeout(timeout);
    }

    /**
     * Lets the kernel reset the connection when it is closed, also when it closes the connection of
     * a process that has ended; by default it goes on to deliver what was written.
     */
    void resetOnClose() throws IOException {
        if (mSession.channel() instanceof NetworkChannel channel) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
    }

    /** Resets the connection, so that what has not left this VM yet is not delivered. */
    void reset() {
        mSession.close(CloseMode.IMMEDIATE);
    }

    /**
     * Checks, before a request is sent, that the peer has sent nothing since its last response.
     *
     * @throws ProtocolException if bytes have arrived that belong to no response
     * @throws ConnectionClosedException if the peer has closed the connection
     */
    void requireNoInput() throws IOException, ProtocolException {
        mUnexpected.clear();
        int count = mSession.read(mUnexpected);
        if (count > 0) {
            throw strayBytes("before a request");
        }
        if (count < 0) {
            throw new ConnectionClosedException("the peer has closed the connection");
        }
    }

    boolean isResponseDue() {
        return mResponseDue;
    }

    /**
     * Checks that bytes which have arrived may begin a response.
     *
     * @throws ProtocolException if no response is due
     */
    void requireResponseDue() throws ProtocolException {
        if (!mResponseDue) {
            throw strayBytes("after a response");
        }
    }

    /** Reports a line that contains the start of a further response. */
    void reportMergedHeads(String line) {
        mReporter.report(ConnectionAnomaly.MERGED_HEADS, line);
    }

    /**
     * Records a response head.
     *
     * @throws ProtocolException if interim responses may go on without end
     */
    void onHeadParsed(HttpResponse head) throws ProtocolException {
        if (head.getCode() >= HttpStatus.SC_SUCCESS) {
            mResponseDue = false;
            mInterimResponses = 0;
            return;
        }
        mInterimResponses++;
        if (mInterimResponses > MAXIMUM_INTERIM_RESPONSES) {
            throw new ProtocolException("too many interim responses");
        }
    }

    @Override
    public void onRequestHead(HttpConnection connection, HttpRequest request) {
        mResponseDue = true;
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {
        // The parser reports the head before HttpCore handles it.
    }

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        // The body ends where the head says; bytes after it are seen by the parser.
    }

    private ProtocolException strayBytes(String when) {
        mReporter.report(ConnectionAnomaly.STRAY_BYTES, when);
        return new ProtocolException("bytes that belong to no response arrived " + when);
    }

    /** Receives the anomalies of a connection on the I/O thread. */
    interface Reporter {
        void report(ConnectionAnomaly anomaly, String detail);
    }
}
