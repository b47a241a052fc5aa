package org.vanilladoor.command;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;

/**
 * Keeps a command running until its process is asked to stop.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class ProcessEnd {
    private ProcessEnd() {}

    /**
     * Waits for the request to stop and carries it out.
     *
     * @param stop ends the command's work; the process ends once it returns
     */
    static void await(Runnable stop) {
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
