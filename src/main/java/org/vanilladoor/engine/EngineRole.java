package org.vanilladoor.engine;

/**
 * The roles of a model engine, with how fast it works in each.
 *
 * <p>An engine does both phases of a request in any role; a role shifts its speed between them.
 * Immutable and safe for use by any thread.
 */
public enum EngineRole {
    /** Serves both phases, each slowing the other. */
    MIXED(0.6, 1.6),
    /** Reads prompts fast and generates slowly. */
    PREFILL(1.0, 5.0),
    /** Generates fast and reads prompts slowly. */
    DECODE(0.15, 1.0);

    private final double mPrefillSpeed;
    private final double mDecodeInterval;

    EngineRole(double prefillSpeed, double decodeInterval) {
        mPrefillSpeed = prefillSpeed;
        mDecodeInterval = decodeInterval;
    }

    /** Returns the speed of reading prompts, as a share of the engine's best. */
    public double prefillSpeedFactor() {
        return mPrefillSpeed;
    }

    /** Returns the interval between tokens, as a multiple of the engine's shortest. */
    public double decodeInterval() {
        return mDecodeInterval;
    }
}
