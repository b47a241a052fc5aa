package org.vanilladoor.fleet;

/**
 * A mean of the logarithms of positive observations.
 *
 * <p>Invariant: one observation changes the value by a bounded factor, so that the few very large
 * ones of a heavy-tailed quantity do not determine it. Confined to the control thread.
 */
final class RobustMean {
    /** Weight of the first value, in observations. */
    private static final int FIRST_VALUE_OBSERVATIONS = 2;

    /** Minimum weight of an observation, so that the value follows changes. */
    private static final double MINIMUM_GAIN = 0.05;

    private double mLogarithm;
    private int mCount;

    private RobustMean(double logarithm) {
        mLogarithm = logarithm;
    }

    /** Returns a mean that has a value before the first observation. */
    static RobustMean startingAt(double value) {
        return new RobustMean(Math.log(value));
    }

    /** Adds an observation; one that is not a positive finite number is ignored. */
    void observe(double value) {
        if (!(value > 0) || Double.isInfinite(value)) {
            return;
        }
        mCount++;
        double gain = Math.max(MINIMUM_GAIN, 1.0 / (mCount + FIRST_VALUE_OBSERVATIONS));
        double difference = Math.log(value) - mLogarithm;
        mLogarithm += gain * Math.max(-1, Math.min(1, difference));
    }

    double value() {
        return Math.exp(mLogarithm);
    }

    int count() {
        return mCount;
    }
}
