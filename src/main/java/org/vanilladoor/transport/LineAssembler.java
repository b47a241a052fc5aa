package org.vanilladoor.transport;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.function.Function;

/**
 * Assembles a line of a message from its bytes.
 *
 * <p>HttpCore also ends a line at a single line feed, so that one inside a header name would end
 * the line, or the head, before it. It appends a line that begins with a blank to the header before
 * it, so that the header of that line is lost. Invariants: a line ends with a carriage return and a
 * line feed, and contains neither; it does not begin with a blank; its length is bounded. Confined
 * to one thread.
 */
public final class LineAssembler {
    private final int mMaximumBytes;
    private final Function<String, IOException> mFailures;
    private StringBuilder mText = new StringBuilder();

    private LineAssembler(int maximumBytes, Function<String, IOException> failures) {
        mMaximumBytes = maximumBytes;
        mFailures = failures;
    }

    /**
     * Returns an assembler without bytes.
     *
     * @param maximumBytes maximum length of a line without its end
     * @param failures creates the exception for a line that is not valid
     */
    static LineAssembler create(int maximumBytes, Function<String, IOException> failures) {
        return new LineAssembler(maximumBytes, failures);
    }

    /**
     * Returns an assembler for the lines of a head.
     *
     * @param maximumBytes maximum length of a line without its end
     */
    public static LineAssembler ofHead(int maximumBytes) {
        return create(maximumBytes, ProtocolException::new);
    }

    /**
     * Adds a byte.
     *
     * @param next the byte, as a number from 0 to 255
     * @return whether it completes the line
     * @throws IOException if the line is too long, begins with a blank, or its end is not valid
     */
    public boolean add(int next) throws IOException {
        int last = mText.length() - 1;
        boolean isAfterReturn = last >= 0 && mText.charAt(last) == '\r';
        if (isAfterReturn && next == '\n') {
            mText.setLength(last);
            return true;
        }
        if (isAfterReturn || next == '\n') {
            throw mFailures.apply("invalid end of a line");
        }
        if (mText.isEmpty() && (next == ' ' || next == '\t')) {
            throw mFailures.apply("a line begins with a blank");
        }
        if (mText.length() >= mMaximumBytes) {
            throw mFailures.apply("a line is too long");
        }
        mText.append((char) next);
        return false;
    }

    /** Returns the line without its end, and begins the next one. */
    public String take() {
        String line = mText.toString();
        // A long line would otherwise keep its memory for as long as the connection is open.
        mText = new StringBuilder();
        return line;
    }
}
