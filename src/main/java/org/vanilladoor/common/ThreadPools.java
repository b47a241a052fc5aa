package org.vanilladoor.common;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Makes the pools of traffic threads.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ThreadPools {
    private ThreadPools() {}

    /**
     * Returns a pool that grows with its blocking tasks; its threads don't keep a process alive.
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
