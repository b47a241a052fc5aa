package org.vanilladoor.common;

import java.util.function.LongSupplier;

/**
 * A clock for leases and other expiry times that never runs slower than the monotonic clock or the
 * wall clock.
 *
 * <p>The monotonic clock of a suspended VM stops while its wall clock advances, and a wall clock
 * may be set back. Each reading advances this clock by the larger of the two advances, so a lease
 * or a confirmation may expire early but never late. Invariant: the time never decreases. Times are
 * comparable within one process only. Safe for use by any thread.
 */
public final class ExpiryClock {
    private static final ExpiryClock SYSTEM =
            combining(MonotonicClock::nowMillis, System::currentTimeMillis);
    private final LongSupplier mMonotonicClock;
    private final LongSupplier mWallClock;
    private long mLastMonotonicMillis;
    private long mLastWallMillis;
    private long mNowMillis;

    private ExpiryClock(LongSupplier monotonic, LongSupplier wall) {
        mMonotonicClock = monotonic;
        mWallClock = wall;
        mLastMonotonicMillis = monotonic.getAsLong();
        mLastWallMillis = wall.getAsLong();
    }

    /** Returns a clock that combines a monotonic clock and a wall clock, both in milliseconds. */
    static ExpiryClock combining(LongSupplier monotonic, LongSupplier wall) {
        return new ExpiryClock(monotonic, wall);
    }

    /** Returns the time in milliseconds, derived from the clocks of this VM. */
    public static long nowMillis() {
        return SYSTEM.read();
    }

    /** Returns the time in milliseconds and remembers both readings for the next call. */
    synchronized long read() {
        long monotonic = mMonotonicClock.getAsLong();
        long wall = mWallClock.getAsLong();
        mNowMillis +=
                Math.max(0, Math.max(monotonic - mLastMonotonicMillis, wall - mLastWallMillis));
        mLastMonotonicMillis = monotonic;
        mLastWallMillis = wall;
        return mNowMillis;
    }
}
