package org.vanilladoor.common;

/**
 * A clock for what expires: it never runs slower than the monotonic clock or the wall clock.
 *
 * <p>A suspended VM's monotonic clock stands still while its wall clock goes on, and a wall clock
 * may be set back. The larger advance of the two counts, so a trust may end early but never late.
 * Invariant: times don't fall. Its times have a meaning within the process only. Safe for use by
 * any thread.
 */
public final class ExpiryClock {
    private static long sMonotonicMillis = MonotonicClock.nowMillis();
    private static long sWallMillis = System.currentTimeMillis();
    private static long sNowMillis;

    private ExpiryClock() {}

    /** Returns the time in milliseconds. */
    public static synchronized long nowMillis() {
        long monotonic = MonotonicClock.nowMillis();
        long wall = System.currentTimeMillis();
        sNowMillis += Math.max(0, Math.max(monotonic - sMonotonicMillis, wall - sWallMillis));
        sMonotonicMillis = monotonic;
        sWallMillis = wall;
        return sNowMillis;
    }
}
