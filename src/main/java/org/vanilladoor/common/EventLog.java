package org.vanilladoor.common;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes what a process decides as structured lines: a part, an event, then key=value pairs.
 *
 * <p>Invariants: at most {@link #LINES_PER_SECOND} lines a second are written, what is left out is
 * counted and said in a line of its own; writing never blocks, since the appender drops when its
 * buffer is full. Safe for use by any thread.
 */
public final class EventLog {
    /** Bound on the lines of one process, so that logs can't crowd out the work on a small VM. */
    public static final int LINES_PER_SECOND = 200;

    private static final Logger LOG = LogManager.getLogger("events");
    private static final long SECOND_MILLIS = 1_000;
    private static final EventLog INSTANCE = new EventLog();
    private final AtomicLong mSecond = new AtomicLong();
    private final AtomicLong mWritten = new AtomicLong();
    private final AtomicLong mLeftOut = new AtomicLong();

    private EventLog() {}

    /**
     * Writes a line, if the bound allows.
     *
     * @param part part of the program
     * @param event what happened
     * @param pairs keys and values by turns
     */
    public static void write(String part, String event, Object... pairs) {
        INSTANCE.writeBounded(part, event, pairs);
    }

    private void writeBounded(String part, String event, Object... pairs) {
        long second = System.currentTimeMillis() / SECOND_MILLIS;
        long before = mSecond.getAndSet(second);
        if (before != second) {
            mWritten.set(0);
            long leftOut = mLeftOut.getAndSet(0);
            if (leftOut > 0) {
                LOG.warn(format("log", "lines.left_out", "count", leftOut));
            }
        }
        if (mWritten.incrementAndGet() > LINES_PER_SECOND) {
            mLeftOut.incrementAndGet();
        } else {
            LOG.info(format(part, event, pairs));
        }
    }

    private static String format(String part, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(160);
        line.append("part=").append(part).append(" event=").append(event);
        for (int index = 0; index + 1 < pairs.length; index += 2) {
            line.append(' ').append(pairs[index]).append('=');
            appendValue(line, String.valueOf(pairs[index + 1]));
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        boolean plain = !value.isEmpty() && value.chars().allMatch(EventLog::isPlain);
        if (plain) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(each -> line.append(isText(each) ? (char) each : '?'));
        line.append('"');
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character < 127 && character != '"' && character != '=';
    }

    private static boolean isText(int character) {
        return character >= ' ' && character < 127 && character != '"';
    }
}
