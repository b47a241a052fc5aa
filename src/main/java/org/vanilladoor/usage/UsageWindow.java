package org.vanilladoor.usage;

/**
 * The windows that usage is reported for.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class UsageWindow {
    /** Length of a window in milliseconds. */
    public static final long LENGTH_MILLIS = 10_000;

    /** How long after its end a window is sealed, in milliseconds. */
    public static final long GRACE_MILLIS = 2_500;

    private UsageWindow() {}

    /** Returns the window that a wall time falls into. */
    public static long at(long epochMillis) {
        return Math.floorDiv(epochMillis, LENGTH_MILLIS);
    }

    /** Returns whether a window may be sealed at a wall time. */
    public static boolean maySeal(long window, long epochMillis) {
        return epochMillis >= (window + 1) * LENGTH_MILLIS + GRACE_MILLIS;
    }
}
