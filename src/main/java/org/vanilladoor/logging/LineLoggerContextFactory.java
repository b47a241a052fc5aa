package org.vanilladoor.logging;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/**
 * Lets Log4j's API write lines to standard output without Log4j's configurable core.
 *
 * <p>Setting up the core takes several times as long as the rest of a start, which counts on a VM
 * with a small share of a processor. Invariant: there is one context for the whole process. Safe
 * for use by any thread.
 */
public final class LineLoggerContextFactory implements LoggerContextFactory {
    private static final String FORMAT_PROPERTY = "vanilladoor.log.format";
    private static final String LEVEL_PROPERTY = "vanilladoor.log.level";
    private static final String LINES_FORMAT = "events";

    /** Property from which Log4j takes the name of its context factory. */
    private static final String FACTORY_PROPERTY = "log4j2.loggerContextFactory";

    private final LineLoggerContext mContext;

    /** Called by Log4j, which creates the factory by reflection. */
    public LineLoggerContextFactory() {
        Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO);
        PrintStream output =
                new PrintStream(
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out)),
                        false,
                        StandardCharsets.UTF_8);
        mContext = LineLoggerContext.create(level, LineWriter.start(output));
    }

    /**
     * Makes Log4j use this factory if lines are the chosen format. Has no effect once a logger
     * exists.
     */
    public static void installIfChosen() {
        if (LINES_FORMAT.equals(System.getProperty(FORMAT_PROPERTY))) {
            System.setProperty(FACTORY_PROPERTY, LineLoggerContextFactory.class.getName());
        }
    }

    @Override
    public LoggerContext getContext(
            String caller, ClassLoader loader, Object external, boolean currentContext) {
        return mContext;
    }

    @Override
    public LoggerContext getContext(
            String caller,
            ClassLoader loader,
            Object external,
            boolean currentContext,
            URI configuration,
            String name) {
        return mContext;
    }

    @Override
    public boolean hasContext(String caller, ClassLoader loader, boolean currentContext) {
        return true;
    }

    @Override
    public void removeContext(LoggerContext context) {
        // The only context lasts as long as the process.
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
