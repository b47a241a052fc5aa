package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against an unexpected error that ends a task on which the whole process depends, and
 * against timers that hold on to what has ended.
 */
class ControlLoopTests {
    private static final long WAIT_SECONDS = 20;

    @Test
    void aRepeatedTaskGoesOnAfterAnError() throws InterruptedException {
        CountDownLatch repeated = new CountDownLatch(3);
        AtomicInteger runs = new AtomicInteger();
        try (ControlLoop control = ControlLoop.start("control")) {
            control.scheduleWithFixedDelay(
                    Duration.ofMillis(1),
                    () -> {
                        repeated.countDown();
                        if (runs.incrementAndGet() == 1) {
                            throw new StackOverflowError("unexpected");
                        }
                    });
            assertThat(repeated.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Whoever waits for the task would wait without an end. */
    @Test
    void anErrorOfATaskFailsItsFuture() {
        try (ControlLoop control = ControlLoop.start("control")) {
            CompletableFuture<Object> result =
                    control.submit(
                            () -> {
                                throw new OutOfMemoryError("thrown by the test");
                            });
            assertThrows(ExecutionException.class, () -> result.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void aCancelledTimerIsDroppedAtOnce() {
        try (ControlLoop control = ControlLoop.start("control")) {
            ControlLoop.Timer timer = control.schedule(Duration.ofHours(1), () -> {});
            assertThat(control.pendingTasks()).isEqualTo(1);
            timer.cancel();
            assertThat(control.pendingTasks()).isEqualTo(0);
        }
    }

    @Test
    void aTimerOfAClosedLoopCanBeCancelled() {
        ControlLoop control = ControlLoop.start("control");
        control.close();
        control.schedule(Duration.ZERO, () -> {}).cancel();
    }
}
