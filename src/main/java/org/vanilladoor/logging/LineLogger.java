package org.vanilladoor.logging;

import java.io.PrintStream;
import java.util.Properties;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * A logger that passes each message to a {@link LineWriter}, with the wall-clock time and the level
 * in front of it.
 *
 * <p>Invariant: logging never blocks. Safe for use by any thread.
 */
final class LineLogger extends SimpleLogger {
    private static final long serialVersionUID = 1L;

    /** Never written to: messages go to the line writer. */
    private static final PrintStream UNUSED = new PrintStream(PrintStream.nullOutputStream());

    private static final PropertiesUtil NO_PROPERTIES = new PropertiesUtil(new Properties());
    private final transient LineWriter mWriter;

    private LineLogger(String name, Level level, MessageFactory messages, LineWriter writer) {
        super(name, level, false, false, false, false, "", messages, NO_PROPERTIES, UNUSED);
        setLevel(level);
        mWriter = writer;
    }

    /**
     * Returns a logger.
     *
     * @param level least severe level that is written
     * @param messages creates the messages; null for the default
     */
    static LineLogger create(String name, Level level, MessageFactory messages, LineWriter writer) {
        return new LineLogger(name, level, messages, writer);
    }

    @Override
    public void logMessage(
            String caller, Level level, Marker marker, Message message, Throwable failure) {
        StringBuilder line = new StringBuilder("ts=").append(System.currentTimeMillis());
        line.append(" level=").append(level).append(' ').append(message.getFormattedMessage());
        if (failure != null) {
            line.append('\n').append(stackTrace(failure));
        }
        mWriter.add(line.toString());
    }

    private static String stackTrace(Throwable failure) {
        StringBuilder text = new StringBuilder(failure.toString());
        for (StackTraceElement element : failure.getStackTrace()) {
            text.append("\n\tat ").append(element);
        }
        Throwable cause = failure.getCause();
        return cause == null ? text.toString() : text + "\nCaused by: " + stackTrace(cause);
    }
}
