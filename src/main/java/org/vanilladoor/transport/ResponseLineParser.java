package org.vanilladoor.transport;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a response head and rejects a second status line inside one of them.
 *
 * <p>If a peer breaks off a response inside a line of its head, the status line of its next
 * response continues that line. Confined to the I/O thread.
 */
final class ResponseLineParser extends LazyLaxLineParser {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    private static final Pattern HEADER_NAME =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \t]*:");
    private final ResponseBoundary mBoundary;

    private ResponseLineParser(ResponseBoundary boundary) {
        mBoundary = boundary;
    }

    static ResponseLineParser create(ResponseBoundary boundary) {
        return new ResponseLineParser(boundary);
    }

    @Override
    public StatusLine parseStatusLine(CharArrayBuffer buffer) throws ParseException {
        requireNoStatusLine(buffer, 1);
        return super.parseStatusLine(buffer);
    }

    @Override
    public Header parseHeader(CharArrayBuffer buffer) throws ParseException {
        requireNoStatusLine(buffer, 0);
        Header header = super.parseHeader(buffer);
        if (!HEADER_NAME.matcher(buffer).lookingAt()) {
            throw new ParseException("invalid header name");
        }
        return header;
    }

    private void requireNoStatusLine(CharArrayBuffer line, int start) throws ParseException {
        if (line.length() > start && STATUS_LINE.matcher(line).find(start)) {
            throw new ParseException(mBoundary.reportMergedHeads(line.toString()));
        }
    }
}
