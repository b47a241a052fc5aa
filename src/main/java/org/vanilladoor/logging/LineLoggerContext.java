package org.vanilladoor.logging;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;

/**
 * The loggers of a process that logs lines.
 *
 * <p>Invariant: there is one logger for each name. Safe for use by any thread.
 */
final class LineLoggerContext implements LoggerContext, Terminable {
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    /** Libraries whose messages are written only if they are errors. */
    private static final String LIBRARY_PREFIX = "org.apache.";

    private final Map<String, ExtendedLogger> mLoggers = new ConcurrentHashMap<>();
    private final Level mLevel;
    private final LineWriter mWriter;

    private LineLoggerContext(Level level, LineWriter writer) {
        mLevel = level;
        mWriter = writer;
    }

    /**
     * Returns a context without loggers.
     *
     * @param level least severe level that is written
     */
    static LineLoggerContext create(Level level, LineWriter writer) {
        return new LineLoggerContext(level, writer);
    }

    @Override
    public Object getExternalContext() {
        return null;
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return getLogger(name, null);
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory messages) {
        return mLoggers.computeIfAbsent(
                name, key -> LineLogger.create(key, level(key), messages, mWriter));
    }

    @Override
    public boolean hasLogger(String name) {
        return mLoggers.containsKey(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory messages) {
        return hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
        return hasLogger(name);
    }

    @Override
    public void terminate() {
        mWriter.close(CLOSE_TIMEOUT_MILLIS);
    }

    private Level level(String name) {
        return name.startsWith(LIBRARY_PREFIX) ? Level.ERROR : mLevel;
    }
}
