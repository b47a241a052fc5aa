package org.vanilladoor.common;

import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes the decisions of a process as structured log lines: a part, an event, then key=value
 * pairs.
 *
 * <p>Invariants: at most {@link #MAXIMUM_LINES_PER_SECOND} lines are written per second. Lines over
 * that limit are dropped and counted, and the count is logged before the first line of a later
 * second. Writing never blocks, since the appender drops lines when its buffer is full. Safe for
 * use by any thread.
 */
public final class EventLog {
    /** Limit for one process, so that logging cannot starve request processing on a small VM. */
    public static final int MAXIMUM_LINES_PER_SECOND = 200;

    private static final Logger LOG = LogManager.getLogger("events");
    private static final long SECOND_MILLIS = 1_000;

    /** Number of values that a line contains of a collection. */
    private static final int MAXIMUM_VALUES = 16;

    private static final int INITIAL_LINE_CAPACITY = 160;
    private static final char DELETE_CHARACTER = 127;
    private static final EventLog INSTANCE = new EventLog();
    private final AtomicLong mCurrentSecond = new AtomicLong();
    private final AtomicLong mLinesThisSecond = new AtomicLong();
    private final AtomicLong mDroppedLines = new AtomicLong();

    private EventLog() {}

    /**
     * Writes a line, or drops and counts it if the limit of this second is reached.
     *
     * @param part part of the program that logs the event
     * @param event name of the event
     * @param pairs alternating keys and values
     */
    public static void write(String part, String event, Object... pairs) {
        INSTANCE.writeRateLimited(part, event, pairs);
    }

    /** Returns the first values, and how many there are besides. */
    public static String join(Collection<String> values) {
        String first = values.stream().limit(MAXIMUM_VALUES).collect(Collectors.joining(","));
        int further = values.size() - MAXIMUM_VALUES;
        return further > 0 ? first + ",+" + further : first;
    }

    private void writeRateLimited(String part, String event, Object... pairs) {
        long second = System.currentTimeMillis() / SECOND_MILLIS;
        long previousSecond = mCurrentSecond.getAndSet(second);
        if (previousSecond != second) {
            mLinesThisSecond.set(0);
            long droppedLines = mDroppedLines.getAndSet(0);
            if (droppedLines > 0) {
                LOG.warn(format("log", "lines.left_out", "count", droppedLines));
            }
        }
        if (mLinesThisSecond.incrementAndGet() > MAXIMUM_LINES_PER_SECOND) {
            mDroppedLines.incrementAndGet();
        } else {
            LOG.info(format(part, event, pairs));
        }
    }

    private static String format(String part, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CAPACITY);
        line.append("part=").append(part).append(" event=").append(event);
        for (int index = 0; index + 1 < pairs.length; index += 2) {
            line.append(' ').append(pairs[index]).append('=');
            appendValue(line, String.valueOf(pairs[index + 1]));
        }
        return line.toString();
    }

    /**
     * Appends the value, in quotes where needed; characters that cannot be quoted become {@code ?}.
     */
    private static void appendValue(StringBuilder line, String value) {
        boolean unquoted =
                !value.isEmpty() && value.chars().allMatch(EventLog::isUnquotedCharacter);
        if (unquoted) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars()
                .forEach(
                        character ->
                                line.append(
                                        isQuotableCharacter(character) ? (char) character : '?'));
        line.append('"');
    }

    private static boolean isUnquotedCharacter(int character) {
        return character > ' '
                && character < DELETE_CHARACTER
                && character != '"'
                && character != '=';
    }

    private static boolean isQuotableCharacter(int character) {
        return character >= ' ' && character < DELETE_CHARACTER && character != '"';
    }
}
