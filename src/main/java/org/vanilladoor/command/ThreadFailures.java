package org.vanilladoor.command;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Ends the process if one of its threads ends with an exception or error that nothing handles.
 *
 * <p>A process that goes on without one of its threads may serve nothing, and nobody is told. The
 * platform starts it again, and its lease lapses. Not instantiable.
 */
final class ThreadFailures {
    private static final Logger LOG = LogManager.getLogger(ThreadFailures.class);
    private static final int EXIT_CODE = 3;

    /** Time in which the log line is written, which happens on a thread of its own. */
    private static final long LOG_MILLIS = 100;

    /** Threads that serve one connection each, of HttpCore; they end with it. */
    private static final String CONNECTION_THREAD_PREFIX = "HTTP-worker";

    private ThreadFailures() {}

    /** Ends the process at such a failure from now on, except of a connection's own thread. */
    static void endProcess() {
        Thread.setDefaultUncaughtExceptionHandler(ThreadFailures::handle);
    }

    private static void handle(Thread thread, Throwable failure) {
        if (thread.getName().startsWith(CONNECTION_THREAD_PREFIX)) {
            LOG.error("process: A connection has ended: {}.", failure.toString());
            return;
        }
        try {
            LOG.error("process: Thread {} has ended: {}.", thread.getName(), failure.toString());
            Thread.sleep(LOG_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
