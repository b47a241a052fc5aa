package org.vanilladoor.transport;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a request head and rejects header names and values that peers read
 * differently.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class RequestLineParser extends LazyLaxLineParser {
    static final RequestLineParser STRICT = new RequestLineParser();
    private static final Pattern HEADER =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00\\r\\n]*");

    private RequestLineParser() {}

    @Override
    public Header parseHeader(CharArrayBuffer buffer) throws ParseException {
        if (!HEADER.matcher(buffer).matches()) {
            throw new ParseException("invalid header");
        }
        return super.parseHeader(buffer);
    }
}
