package org.vanilladoor.engine;

/**
 * How fast a kind of engine is and how much it holds.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param prefillTokensPerSecond prompt tokens read in a second at best
 * @param decodeMillis milliseconds between tokens of a lone stream at best
 * @param decodeMillisPerStream milliseconds that each further stream adds between tokens
 * @param maximumStreams streams that generate at the same time
 * @param cacheBlocks prompt blocks kept in the prefix cache
 * @param roleChangeMillis how long a role change takes
 */
public record EngineProfile(
        double prefillTokensPerSecond,
        double decodeMillis,
        double decodeMillisPerStream,
        int maximumStreams,
        int cacheBlocks,
        int roleChangeMillis) {
    /** Tokens of a prompt that make one block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 64;

    /** Returns the profile that the stand-ins use where none is given. */
    public static EngineProfile standard() {
        return new EngineProfile(20_000, 8, 0.3, 32, 4_096, 4_000);
    }

    /** Returns the time to read a prompt in a role, with nothing else waiting. */
    public double prefillMillis(int tokens, EngineRole role) {
        return tokens * 1_000.0 / (prefillTokensPerSecond * role.prefillSpeedFactor());
    }

    /** Returns the interval between tokens in a role with the given number of streams. */
    public double intervalMillis(int streams, EngineRole role) {
        return (decodeMillis + decodeMillisPerStream * streams) * role.decodeInterval();
    }
}
