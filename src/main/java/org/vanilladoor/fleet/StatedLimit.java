package org.vanilladoor.fleet;

/**
 * What an endpoint's response says about the rate of requests that it takes from all VMs together.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param kind whether there is a limit
 * @param requestsPerSecond the limit; 0 unless there is one
 */
public record StatedLimit(Kind kind, double requestsPerSecond) {
    private static final StatedLimit NONE = new StatedLimit(Kind.NONE, 0);
    private static final StatedLimit UNREADABLE = new StatedLimit(Kind.UNREADABLE, 0);

    /** Returns the statement of a response that names no limit. */
    public static StatedLimit none() {
        return NONE;
    }

    /** Returns the statement of a response whose limit can't be read. */
    public static StatedLimit unreadable() {
        return UNREADABLE;
    }

    /** Returns a limit; a negative one counts as 0. */
    public static StatedLimit of(double requestsPerSecond) {
        return Double.isNaN(requestsPerSecond)
                ? UNREADABLE
                : new StatedLimit(Kind.LIMITED, Math.max(0, requestsPerSecond));
    }

    /** Whether there is a limit. */
    public enum Kind {
        /** The endpoint takes what it is sent. */
        NONE,
        /** The endpoint takes a limited rate. */
        LIMITED,
        /** The endpoint named a limit that can't be read; what it named before still holds. */
        UNREADABLE
    }
}
