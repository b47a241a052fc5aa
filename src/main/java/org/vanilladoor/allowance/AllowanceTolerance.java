package org.vanilladoor.allowance;

/**
 * By how much the use of a team may exceed its allowance: in any window at most {@code (rate x
 * window + burst) x (1 + excess) + slack}.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param windowMillis length of the window
 * @param excess part by which the use may exceed the allowance
 * @param slack units by which the use may exceed it further
 */
public record AllowanceTolerance(long windowMillis, double excess, double slack) {
    private static final long STANDARD_WINDOW_MILLIS = 8_000;
    private static final double STANDARD_EXCESS = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;

    public AllowanceTolerance {
        if (windowMillis <= 0 || !(excess >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "tolerance must be a window above 0, an excess and a slack of at least 0: "
                            + windowMillis
                            + ", "
                            + excess
                            + ", "
                            + slack);
        }
    }

    /** Returns the tolerance that applies where the settings state none. */
    public static AllowanceTolerance standard() {
        return new AllowanceTolerance(STANDARD_WINDOW_MILLIS, STANDARD_EXCESS, 0);
    }

    /** Returns the most that a team may use in any window. */
    public double bound(Allowance allowance) {
        double allowed =
                allowance.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + allowance.burst();
        return allowed * (1 + excess) + slack;
    }
}
