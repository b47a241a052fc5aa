package org.vanilladoor.transport;

import java.util.regex.Pattern;
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
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

    private RequestFraming() {}

    /**
     * Checks that the head delimits its body in one way only, so that nobody takes a part of the
     * body for a further request.
     *
     * @throws ProtocolException if the end of the body is in doubt
     */
    static void requireUnambiguous(HttpRequest head) throws ProtocolException {
        Header[] lengths = head.getHeaders(HttpHeaders.CONTENT_LENGTH);
        Header[] encodings = head.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths.length + encodings.length > 1) {
            throw new ProtocolException("the length of the body is stated more than once");
        }
        if (lengths.length > 0 && !LENGTH.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("invalid length of the body");
        }
        if (encodings.length > 0 && !isChunked(head, encodings[0])) {
            throw new ProtocolException("unsupported encoding of the body");
        }
    }

    private static boolean isChunked(HttpRequest head, Header encoding) {
        return HttpVersion.HTTP_1_1.equals(head.getVersion())
                && HeaderElements.CHUNKED_ENCODING.equalsIgnoreCase(encoding.getValue());
    }
}
