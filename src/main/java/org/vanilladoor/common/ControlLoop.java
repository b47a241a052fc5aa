package org.vanilladoor.common;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The one thread that owns a process's control state.
 *
 * <p>Invariant: tasks run one after the other on the same thread, so state touched only by tasks
 * needs no lock. A task must not block. All methods may be called by any thread.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private final ScheduledExecutorService mExecutor;

    private ControlLoop(ScheduledExecutorService executor) {
        mExecutor = executor;
    }

    /**
     * Starts a control loop.
     *
     * @param threadName name of its thread
     */
    public static ControlLoop start(String threadName) {
        return new ControlLoop(
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, threadName);
                            thread.setDaemon(true);
                            return thread;
                        }));
    }

    /** Runs the task on the control thread; after {@link #close} the task is dropped. */
    public void execute(Runnable task) {
        try {
            mExecutor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("control: A task came after the end and was dropped.");
        }
    }

    /** Runs the query on the control thread and completes with its result or its failure. */
    public <T> CompletableFuture<T> submit(Callable<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            mExecutor.execute(
                    () -> {
                        try {
                            result.complete(query.call());
                        } catch (Exception e) {
                            result.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    /** Runs the task on the control thread, again and again with the given pause between runs. */
    public void scheduleWithFixedDelay(Duration pause, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                guarded(task), pause.toMillis(), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs the task on the control thread once, after the delay. */
    public void schedule(Duration delay, Runnable task) {
        try {
            mExecutor.schedule(guarded(task), delay.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("control: A delayed task came after the end and was dropped.");
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("control: A task failed.", e);
            }
        };
    }
}
