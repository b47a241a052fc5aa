package org.vanilladoor.report;

/**
 * How many calls met their target, missed it, were refused or failed.
 *
 * <p>Immutable and safe for use by any thread.
 */
public record LevelCounts(long met, long missed, long refused, long failed) {
    /** One call that met its target. */
    public static final LevelCounts MET = new LevelCounts(1, 0, 0, 0);

    /** One call that was answered and missed its target. */
    public static final LevelCounts MISSED = new LevelCounts(0, 1, 0, 0);

    /** One call that was refused and not run. */
    public static final LevelCounts REFUSED = new LevelCounts(0, 0, 1, 0);

    /** One call that ended without a whole answer. */
    public static final LevelCounts FAILED = new LevelCounts(0, 0, 0, 1);

    /** Returns the sum. */
    public LevelCounts plus(LevelCounts other) {
        return new LevelCounts(
                met + other.met,
                missed + other.missed,
                refused + other.refused,
                failed + other.failed);
    }

    /** Returns all calls. */
    public long total() {
        return met + missed + refused + failed;
    }

    /**
     * Returns how fast the error budget burns: 1 uses it up exactly over the objective's period.
     *
     * @param objective share of calls that has to meet the target, below 1
     */
    public double burn(double objective) {
        if (total() == 0) {
            return 0;
        }
        double errors = (double) (total() - met) / total();
        return errors / Math.max(1e-9, 1 - objective);
    }
}
