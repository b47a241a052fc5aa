package org.vanilladoor.report;

/**
 * Numbers of calls that met their targets, missed them, were refused or failed.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record LevelCounts(long met, long missed, long refused, long failed) {
    /** One call that met its targets. */
    public static final LevelCounts MET = new LevelCounts(1, 0, 0, 0);

    /** One call that got a complete response and missed its targets. */
    public static final LevelCounts MISSED = new LevelCounts(0, 1, 0, 0);

    /** One call that was refused without being run. */
    public static final LevelCounts REFUSED = new LevelCounts(0, 0, 1, 0);

    /** One call that ended without a complete response. */
    public static final LevelCounts FAILED = new LevelCounts(0, 0, 0, 1);

    private static final double MINIMUM_ERROR_BUDGET = 1e-9;

    /** Returns the sum of both counts. */
    public LevelCounts plus(LevelCounts other) {
        return new LevelCounts(
                met + other.met,
                missed + other.missed,
                refused + other.refused,
                failed + other.failed);
    }

    /** Returns the number of all calls. */
    public long total() {
        return met + missed + refused + failed;
    }

    /**
     * Returns the burn rate of the error budget; 1 consumes it exactly over the objective's period.
     *
     * @param objective fraction of calls that must meet the targets, below 1
     */
    public double burnRate(double objective) {
        if (total() == 0) {
            return 0;
        }
        double errorFraction = (double) (total() - met) / total();
        return errorFraction / Math.max(MINIMUM_ERROR_BUDGET, 1 - objective);
    }
}
