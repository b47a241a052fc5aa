package org.vanilladoor.engine;

/**
 * The roles of a model engine, with its speed in each.
 *
 * <p>An engine can run both phases of a request in any role; the role shifts capacity between them.
 * Immutable and safe for use by any thread.
 */
public enum EngineRole {
    /** Moderate speed in both phases. */
    MIXED(0.6, 1.6),
    /** Fast prefill and slow decode. */
    PREFILL(1.0, 5.0),
    /** Fast decode and slow prefill. */
    DECODE(0.15, 1.0);

    private final double mPrefillSpeedFactor;
    private final double mDecodeIntervalFactor;

    EngineRole(double prefillSpeedFactor, double decodeIntervalFactor) {
        mPrefillSpeedFactor = prefillSpeedFactor;
        mDecodeIntervalFactor = decodeIntervalFactor;
    }

    /** Returns the prefill speed as a fraction of the highest one. */
    public double prefillSpeedFactor() {
        return mPrefillSpeedFactor;
    }

    /** Returns the interval between tokens as a multiple of the shortest one. */
    public double decodeIntervalFactor() {
        return mDecodeIntervalFactor;
    }
}
