package org.vanilladoor.transport;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a response head and recognizes a second status line inside one of them.
 *
 * <p>If a peer breaks off a response inside a line of its head, the status line of its next
 * response continues that line. Confined to the I/O thread.
 */
final class ResponseLineParser extends LazyLaxLineParser {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    private static final int MAXIMUM_QUOTED_CHARACTERS = 200;
    private final ResponseBoundary mBoundary;

    private ResponseLineParser(ResponseBoundary boundary) {
        mBoundary = boundary;
    }

    static ResponseLineParser create(ResponseBoundary boundary) {
        return new ResponseLineParser(boundary);
    }

    @Override
    public StatusLine parseStatusLine(CharArrayBuffer buffer) throws ParseException {
        checkFrom(1, buffer);
        return super.parseStatusLine(buffer);
    }

    @Override
    public Header parseHeader(CharArrayBuffer buffer) throws ParseException {
        checkFrom(0, buffer);
        return super.parseHeader(buffer);
    }

    private void checkFrom(int start, CharArrayBuffer buffer) {
        String line = buffer.toString();
        if (line.length() > start && STATUS_LINE.matcher(line).find(start)) {
            mBoundary.report(
                    ConnectionAnomaly.MERGED_HEADS,
                    line.substring(0, Math.min(line.length(), MAXIMUM_QUOTED_CHARACTERS)));
        }
    }
}
