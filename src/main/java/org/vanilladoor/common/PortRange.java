package org.vanilladoor.common;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A range of TCP ports on which a process may listen.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param first first port
 * @param last last port
 */
public record PortRange(int first, int last) {
    /** Any free port. */
    public static final PortRange ANY = new PortRange(0, 0);

    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern TEXT =
            Pattern.compile("\\s*(\\d{1,5})\\s*[-:,]\\s*(\\d{1,5})\\s*");

    public PortRange {
        if (first < 0 || last < first || last > MAXIMUM_PORT) {
            throw new IllegalArgumentException("not a range of ports: " + first + "-" + last);
        }
    }

    /** Parses a text such as {@code 20000-20099}; empty if it is not a range. */
    public static Optional<PortRange> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        try {
            return matcher.matches()
                    ? Optional.of(
                            new PortRange(
                                    Integer.parseInt(matcher.group(1)),
                                    Integer.parseInt(matcher.group(2))))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
