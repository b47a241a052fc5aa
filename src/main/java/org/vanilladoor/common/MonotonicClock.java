package org.vanilladoor.common;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic clock of the process.
 *
 * <p>Times are comparable within one process only. Stateless and safe for use by any thread.
 */
public final class MonotonicClock {
    private MonotonicClock() {}

    /** Returns the monotonic time in milliseconds. */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
