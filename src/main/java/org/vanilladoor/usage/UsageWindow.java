package org.vanilladoor.usage;

/**
 * Division of wall time into the windows for which usage is reported.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class UsageWindow {
    /** Length of a usage window in milliseconds. */
    public static final long LENGTH_MILLIS = 10_000;

    /** Minimum time between the end of a window and its sealing, in milliseconds. */
    public static final long GRACE_MILLIS = 2_500;

    private UsageWindow() {}

    /** Returns the number of the window that contains a wall time. */
    public static long at(long epochMillis) {
        return Math.floorDiv(epochMillis, LENGTH_MILLIS);
    }

    /** Returns whether a window may be sealed at the given wall time. */
    public static boolean maySeal(long window, long epochMillis) {
        return epochMillis >= (window + 1) * LENGTH_MILLIS + GRACE_MILLIS;
    }
}
