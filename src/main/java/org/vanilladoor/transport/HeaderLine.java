package org.vanilladoor.transport;

import java.util.regex.Pattern;

/**
 * The form of a header or trailer of a response, as in RFC 9110, section 5.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class HeaderLine {
    /** The name is followed by its colon at once; a value has no control characters but tabs. */
    private static final Pattern VALID =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7E\\x80-\\xFF]*");

    private HeaderLine() {}

    /** Returns whether a line without its end is a header. */
    static boolean isValid(CharSequence line) {
        return VALID.matcher(line).matches();
    }
}
