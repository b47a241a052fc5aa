package org.vanilladoor.common;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The single thread that owns the control state of a process.
 *
 * <p>Invariant: tasks run one after the other on the same thread, so state that only tasks read and
 * write needs no lock. A task must not block. A cancelled timer is not held any longer. All methods
 * may be called by any thread.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private final ScheduledThreadPoolExecutor mExecutor;

    private ControlLoop(ScheduledThreadPoolExecutor executor) {
        mExecutor = executor;
    }

    /**
     * Starts a control loop.
     *
     * @param threadName name of the thread, as shown in logs and thread dumps
     */
    public static ControlLoop start(String threadName) {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
        return new ControlLoop(executor);
    }

    /** Runs the task on the control thread; after {@link #close} the task is discarded. */
    public void execute(Runnable task) {
        try {
            mExecutor.execute(withExceptionLogging(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("control: A task was discarded: the loop is closed.");
        }
    }

    /** Runs the task on the control thread; the future completes with its result or failure. */
    public <T> CompletableFuture<T> submit(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            mExecutor.execute(
                    () -> {
                        try {
                            result.complete(task.call());
                        } catch (Exception | Error e) {
                            result.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    /**
     * Runs the task on the control thread repeatedly, with the given delay before the first run and
     * between the end of one run and the start of the next.
     */
    public void scheduleWithFixedDelay(Duration delay, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                withExceptionLogging(task),
                delay.toMillis(),
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Runs the task on the control thread once, after the delay, unless the timer is cancelled;
     * after {@link #close} the task is discarded.
     *
     * @return the timer, which holds the task until then
     */
    public Timer schedule(Duration delay, Runnable task) {
        try {
            Future<?> future =
                    mExecutor.schedule(
                            withExceptionLogging(task), delay.toMillis(), TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            LOG.debug("control: A delayed task was discarded: the loop is closed.");
            return Timer.NONE;
        }
    }

    /** Returns the number of tasks that have not started, including timers and repeated tasks. */
    public int pendingTasks() {
        return mExecutor.getQueue().size();
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    /** A task that runs after a delay. */
    @FunctionalInterface
    public interface Timer {
        /** A timer without a task. */
        Timer NONE = () -> {};

        /** Discards the task, unless it has started. May be called by any thread. */
        void cancel();
    }

    private static Runnable withExceptionLogging(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // An error, too, must not end the repeated tasks of the loop.
                LOG.error("control: A task failed.", e);
            }
        };
    }
}
