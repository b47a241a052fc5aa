package org.vanilladoor.entry;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that must become true within a time limit. */
public final class Eventually {
    private Eventually() {}

    /**
     * Checks a condition repeatedly until it is true.
     *
     * @param limit time after which the assertion fails
     * @param description description of the condition for the failure message
     * @throws AssertionError if the condition is still false at the limit
     */
    public static void within(Duration limit, String description, Callable<Boolean> condition)
            throws Exception {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        boolean isSatisfied = condition.call();
        while (!isSatisfied && System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(10_000_000);
            isSatisfied = condition.call();
        }
        assertWithMessage("%s within %s", description, limit).that(isSatisfied).isTrue();
    }
}
