package org.vanilladoor.transport;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;

/**
 * How the body of a request is delimited, as in RFC 9112, section 6.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class RequestFraming {
    private RequestFraming() {}

    /**
     * Checks that the end of the body is certain.
     *
     * @throws ProtocolException if it is stated in more than one way or by an unsupported encoding
     */
    static void requireUnambiguous(HttpRequest head) throws ProtocolException {
        MessageFraming.requireUnambiguous(head);
        Header encoding = head.getFirstHeader(HttpHeaders.TRANSFER_ENCODING);
        if (encoding != null && !isChunked(head, encoding)) {
            throw new ProtocolException("unsupported encoding of the body");
        }
    }

    private static boolean isChunked(HttpRequest head, Header encoding) {
        return HttpVersion.HTTP_1_1.equals(head.getVersion())
                && HeaderElements.CHUNKED_ENCODING.equalsIgnoreCase(encoding.getValue());
    }
}
