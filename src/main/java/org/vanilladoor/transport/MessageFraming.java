package org.vanilladoor.transport;

import java.util.Arrays;
import java.util.Locale;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.ProtocolVersion;

/**
 * How the body of any message is delimited, as in RFC 9112, section 6.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class MessageFraming {
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

    private MessageFraming() {}

    /**
     * Checks that the head delimits its body in one way only, so that nobody takes a part of the
     * body for a further message.
     *
     * @throws ProtocolException if a length or an encoding is stated more than once, or both are,
     *     or if the length is no plain number
     */
    static void requireUnambiguous(HttpMessage head) throws ProtocolException {
        Header[] lengths = head.getHeaders(HttpHeaders.CONTENT_LENGTH);
        if (lengths.length + head.countHeaders(HttpHeaders.TRANSFER_ENCODING) > 1) {
            throw new ProtocolException("the length of the body is stated more than once");
        }
        if (lengths.length > 0 && !LENGTH.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("invalid length of the body");
        }
    }

    /** Returns whether the sender of the head keeps the connection open after the exchange. */
    static boolean keepsConnection(HttpMessage head) {
        ProtocolVersion version = head.getVersion();
        return (version == null || HttpVersion.HTTP_1_1.equals(version))
                && Arrays.stream(head.getHeaders(HttpHeaders.CONNECTION))
                        .map(header -> header.getValue().toLowerCase(Locale.ROOT))
                        .noneMatch(value -> value.contains(HeaderElements.CLOSE));
    }
}
