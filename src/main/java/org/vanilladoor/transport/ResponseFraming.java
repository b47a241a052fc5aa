package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;

/**
 * How the body of a response is delimited, and what that means for its connection.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ResponseFraming {
    private ResponseFraming() {}

    /**
     * Checks that the head delimits its body in one way only.
     *
     * @throws ProtocolException if a length or an encoding is stated more than once, or both are
     */
    public static void requireUnambiguous(HttpResponse head) throws ProtocolException {
        MessageFraming.requireUnambiguous(head);
    }

    /** Returns whether only the end of the connection shows where the body ends. */
    public static boolean endsWithConnection(HttpResponse head) {
        return !head.containsHeader(HttpHeaders.CONTENT_LENGTH)
                && !head.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    }

    /** Returns whether the peer keeps the connection open after the response. */
    public static boolean allowsReuseAfter(HttpResponse head) {
        return MessageFraming.keepsConnection(head);
    }
}
