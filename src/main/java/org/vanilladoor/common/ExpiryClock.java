package org.vanilladoor.common;

import java.util.function.LongSupplier;

/**
 * A clock for what expires: it never runs slower than the monotonic clock or the wall clock.
 *
 * <p>A suspended VM's monotonic clock stands still while its wall clock goes on, and a wall clock
 * may be set back. The larger advance of the two counts, so a trust may end early but never late.
 * Invariant: times don't fall. Its times have a meaning within the process only. Safe for use by
 * any thread.
 */
public final class ExpiryClock {
    private static final ExpiryClock SYSTEM =
            over(MonotonicClock::nowMillis, System::currentTimeMillis);
    private final LongSupplier mMonotonic;
    private final LongSupplier mWall;
    private long mMonotonicMillis;
    private long mWallMillis;
    private long mNowMillis;

    private ExpiryClock(LongSupplier monotonic, LongSupplier wall) {
        mMonotonic = monotonic;
        mWall = wall;
        mMonotonicMillis = monotonic.getAsLong();
        mWallMillis = wall.getAsLong();
    }

    /** Returns a clock over two others, in milliseconds. */
    static ExpiryClock over(LongSupplier monotonic, LongSupplier wall) {
        return new ExpiryClock(monotonic, wall);
    }

    /** Returns the time in milliseconds, by the clocks of this VM. */
    public static long nowMillis() {
        return SYSTEM.read();
    }

    synchronized long read() {
        long monotonic = mMonotonic.getAsLong();
        long wall = mWall.getAsLong();
        mNowMillis += Math.max(0, Math.max(monotonic - mMonotonicMillis, wall - mWallMillis));
        mMonotonicMillis = monotonic;
        mWallMillis = wall;
        return mNowMillis;
    }
}
