package org.vanilladoor.fleet;

/**
 * Expected length of the output on one route.
 *
 * <p>Two estimates are kept: one in proportion to the callers' hints, one in proportion to the
 * stated maximum. Each counts by how close it has been. Invariant: the expected length is between 1
 * and the stated maximum. Confined to the control thread.
 */
final class OutputLength {
    /** Mean error, as a logarithm, that is assumed at first for both estimates. */
    private static final double FIRST_ERROR = 0.5;

    /** Maximum error that counts, so that one false hint does not end the use of hints. */
    private static final double MAXIMUM_ERROR = 3;

    private static final double ERROR_GAIN = 0.05;

    /** Keeps the weights finite when an estimate has always been exact. */
    private static final double MINIMUM_ERROR = 0.01;

    private final RobustMean mPerHint = RobustMean.startingAt(1);
    private final RobustMean mPerMaximum = RobustMean.startingAt(1);
    private double mHintError = FIRST_ERROR;
    private double mMaximumError = FIRST_ERROR;

    double expect(RequestProfile request) {
        double maximum = Math.max(1, request.maximumOutputTokens());
        double byMaximum = mPerMaximum.value() * maximum;
        double expected = byMaximum;
        if (request.lengthHint().isPresent()) {
            double byHint = mPerHint.value() * request.lengthHint().getAsDouble();
            double hintWeight = mMaximumError / (mMaximumError + mHintError);
            expected =
                    Math.exp(
                            hintWeight * Math.log(byHint) + (1 - hintWeight) * Math.log(byMaximum));
        }
        return Math.max(1, Math.min(maximum, expected));
    }

    void observe(RequestProfile request, int tokens) {
        if (tokens <= 0) {
            return;
        }
        double perMaximum = tokens / (double) Math.max(1, request.maximumOutputTokens());
        mMaximumError = updated(mMaximumError, perMaximum / mPerMaximum.value());
        mPerMaximum.observe(perMaximum);
        if (request.lengthHint().isPresent()) {
            double perHint = tokens / request.lengthHint().getAsDouble();
            mHintError = updated(mHintError, perHint / mPerHint.value());
            mPerHint.observe(perHint);
        }
    }

    private static double updated(double error, double ratio) {
        double observed = Math.min(MAXIMUM_ERROR, Math.abs(Math.log(ratio)));
        return Math.max(MINIMUM_ERROR, error + ERROR_GAIN * (observed - error));
    }
}
