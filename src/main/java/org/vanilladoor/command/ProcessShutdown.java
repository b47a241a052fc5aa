package org.vanilladoor.command;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;

/**
 * Keeps a command running until the JVM begins to shut down.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class ProcessShutdown {
    private ProcessShutdown() {}

    /**
     * Blocks until the JVM's shutdown begins, for instance on SIGTERM, and the given action has
     * run.
     *
     * @param stop action that ends the command's work; runs in a shutdown hook, so that the process
     *     exits only after it has returned. Logging is shut down after it, so that its log lines
     *     are written
     */
    static void awaitAndRun(Runnable stop) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.run();
                                    stopped.countDown();
                                    LogManager.shutdown();
                                }));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
