package org.vanilladoor.transport;

import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a response head and rejects statuses outside 100 to 599, invalid headers and
 * a second status line inside a line.
 *
 * <p>If a peer breaks off a response inside a line of its head, the status line of its next
 * response continues that line. HttpCore removes blanks before the colon of a header, and takes the
 * rest for its name. Immutable; safe for use by any thread if the listener is.
 */
public final class ResponseLineParser extends LazyLaxLineParser {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d+(\\.\\d+)?\\s+\\d{3}");
    private static final int MAXIMUM_QUOTED_CHARACTERS = 200;
    private static final int MAXIMUM_STATUS = 599;
    private final Consumer<String> mMergedHeadsListener;

    private ResponseLineParser(Consumer<String> mergedHeadsListener) {
        mMergedHeadsListener = mergedHeadsListener;
    }

    /**
     * Returns a parser.
     *
     * @param mergedHeadsListener receives the start of each line that contains a second status line
     */
    public static ResponseLineParser create(Consumer<String> mergedHeadsListener) {
        return new ResponseLineParser(mergedHeadsListener);
    }

    @Override
    public StatusLine parseStatusLine(CharArrayBuffer buffer) throws ParseException {
        requireNoStatusLine(buffer, 1);
        StatusLine statusLine = super.parseStatusLine(buffer);
        int status = statusLine.getStatusCode();
        if (status < HttpStatus.SC_CONTINUE || status > MAXIMUM_STATUS) {
            throw new ParseException("invalid status " + status);
        }
        return statusLine;
    }

    @Override
    public Header parseHeader(CharArrayBuffer buffer) throws ParseException {
        requireNoStatusLine(buffer, 0);
        if (!HeaderLine.isValid(buffer)) {
            throw new ParseException("invalid header");
        }
        return super.parseHeader(buffer);
    }

    private void requireNoStatusLine(CharArrayBuffer line, int start) throws ParseException {
        if (line.length() > start && STATUS_LINE.matcher(line).find(start)) {
            String quoted = line.substring(0, Math.min(line.length(), MAXIMUM_QUOTED_CHARACTERS));
            mMergedHeadsListener.accept(quoted);
            throw new ParseException("two heads are merged: " + quoted);
        }
    }
}
