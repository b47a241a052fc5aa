package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.Http1StreamListener;

/**
 * Knows whether the peer of one connection owes a response, and reports bytes that are none.
 *
 * <p>Invariant: a response is due from the head of its request to its own final head. Confined to
 * the I/O thread.
 */
final class ResponseBoundary implements Http1StreamListener {
    private final Reporter mReporter;
    private boolean mResponseDue;

    private ResponseBoundary(Reporter reporter) {
        mReporter = reporter;
    }

    /** Returns the boundary of a connection that has carried no call. */
    static ResponseBoundary create(Reporter reporter) {
        return new ResponseBoundary(reporter);
    }

    boolean isResponseDue() {
        return mResponseDue;
    }

    void onHeadParsed(HttpResponse head) {
        if (head.getCode() >= HttpStatus.SC_SUCCESS) {
            mResponseDue = false;
        }
    }

    void report(ConnectionAnomaly anomaly, String detail) {
        mReporter.report(anomaly, detail);
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

    /** Receives the anomalies of a connection on the I/O thread. */
    interface Reporter {
        void report(ConnectionAnomaly anomaly, String detail);
    }
}
