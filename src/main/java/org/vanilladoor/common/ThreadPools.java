package org.vanilladoor.common;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates thread pools for blocking tasks.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ThreadPools {
    private ThreadPools() {}

    /**
     * Returns a cached pool, which starts a thread for each task that finds no idle one. Its
     * threads are daemon threads, so they do not keep the process alive.
     *
     * @param name prefix of the thread names
     */
    public static ExecutorService newDaemonThreadPool(String name) {
        AtomicInteger number = new AtomicInteger();
        return Executors.newCachedThreadPool(
                task -> {
                    Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
