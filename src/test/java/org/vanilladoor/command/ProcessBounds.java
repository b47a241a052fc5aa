package org.vanilladoor.command;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * What a process may take, and what is expected of it after callers have misbehaved.
 *
 * @param memoryBytes maximum resident memory that it may ever have had
 * @param descriptors maximum number of file descriptors that it may have open
 */
public record ProcessBounds(long memoryBytes, int descriptors) {
    /** A process that recovers, or is started again, serves within this time. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(30);

    private static final long PAUSE_NANOS = 100_000_000;

    /** Checks that the process lives within its bounds and serves one ordinary request. */
    public void requireServing(ProgramProcess process, BooleanSupplier ordinaryRequestIsServed) {
        int descriptorCount = process.openDescriptors();
        long endNanos = System.nanoTime() + RECOVERY_LIMIT.toNanos();
        boolean served = ordinaryRequestIsServed.getAsBoolean();
        while (!served && process.isRunning() && System.nanoTime() < endNanos) {
            LockSupport.parkNanos(PAUSE_NANOS);
            served = ordinaryRequestIsServed.getAsBoolean();
        }
        descriptorCount = Math.max(descriptorCount, process.openDescriptors());
        long peakBytes = process.peakMemoryBytes();
        String state =
                "running %s, ordinary request served %s, peak memory %s bytes, %s descriptors"
                        .formatted(process.isRunning(), served, peakBytes, descriptorCount);
        assertWithMessage(state).that(process.isRunning()).isTrue();
        assertWithMessage(state).that(served).isTrue();
        assertWithMessage(state).that(peakBytes).isAtMost(memoryBytes);
        assertWithMessage(state).that(descriptorCount).isAtMost(descriptors);
    }
}
