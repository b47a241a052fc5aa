package org.vanilladoor.entry;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for what has to come true within a stated time. */
public final class Eventually {
    private Eventually() {}

    public static void within(Duration limit, String what, Callable<Boolean> condition)
            throws Exception {
        long end = System.nanoTime() + limit.toNanos();
        boolean held = condition.call();
        while (!held && System.nanoTime() < end) {
            LockSupport.parkNanos(10_000_000);
            held = condition.call();
        }
        assertWithMessage("%s within %s", what, limit).that(held).isTrue();
    }
}
