package org.vanilladoor.engine;

/**
 * The speeds and capacities of a type of engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param prefillTokensPerSecond prompt tokens prefilled per second in the fastest role
 * @param decodeMillis milliseconds between tokens in the fastest role, before the part that each
 *     stream adds
 * @param decodeMillisPerStream milliseconds that each stream adds between tokens
 * @param maximumStreams number of streams that decode at the same time
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param roleChangeMillis duration of a role change
 */
public record EngineProfile(
        double prefillTokensPerSecond,
        double decodeMillis,
        double decodeMillisPerStream,
        int maximumStreams,
        int cacheBlocks,
        int roleChangeMillis) {
    /** Number of prompt tokens in one block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 64;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Returns the default profile, which stand-ins use where the settings give no other. */
    public static EngineProfile standard() {
        return new EngineProfile(20_000, 8, 0.3, 32, 4_096, 4_000);
    }

    /** Returns the prefill time in milliseconds in a role, if no other prompt is waiting. */
    public double prefillMillis(int tokens, EngineRole role) {
        return tokens * MILLIS_PER_SECOND / (prefillTokensPerSecond * role.prefillSpeedFactor());
    }

    /** Returns the interval between tokens in milliseconds in a role with the given streams. */
    public double intervalMillis(int streams, EngineRole role) {
        return (decodeMillis + decodeMillisPerStream * streams) * role.decodeIntervalFactor();
    }
}
