package org.vanilladoor.lease;

/**
 * The durations of a lease.
 *
 * <p>Invariant: the margin is shorter than the length. Immutable and safe for use by any thread.
 *
 * @param lengthMillis nominal length of the lease, counted from when its renewal was sent
 * @param marginMillis how far the clocks of two VMs may drift apart within that length
 * @param minimumTurnMillis shortest time between two calls of one VM with another VM's calls
 *     between them
 */
public record LeaseTiming(long lengthMillis, long marginMillis, long minimumTurnMillis) {
    private static final int RENEWALS_PER_LENGTH = 3;
    private static final long STANDARD_LENGTH_MILLIS = 4_000;
    private static final long STANDARD_MARGIN_MILLIS = 500;
    private static final long STANDARD_MINIMUM_TURN_MILLIS = 3_000;

    /** Shortest time that is worth beginning a call for. */
    private static final long MINIMUM_CALL_MILLIS = 300;

    public LeaseTiming {
        if (marginMillis < 0 || marginMillis >= lengthMillis) {
            throw new IllegalArgumentException(
                    "lease margin must be at least 0 and below the length: " + marginMillis);
        }
    }

    /** Returns durations with the standard minimum turn. */
    public LeaseTiming(long lengthMillis, long marginMillis) {
        this(lengthMillis, marginMillis, STANDARD_MINIMUM_TURN_MILLIS);
    }

    /** Returns the durations that entries use. */
    public static LeaseTiming standard() {
        return new LeaseTiming(STANDARD_LENGTH_MILLIS, STANDARD_MARGIN_MILLIS);
    }

    /** Returns the same durations with another minimum turn. */
    public LeaseTiming withMinimumTurn(long millis) {
        return new LeaseTiming(lengthMillis, marginMillis, millis);
    }

    /** Returns how long after sending a renewal the holder sends the next one. */
    long renewAfterMillis() {
        return lengthMillis / RENEWALS_PER_LENGTH;
    }

    /** Returns how long after sending a renewal the holder may act under the lease. */
    long validityMillis() {
        return lengthMillis - marginMillis;
    }

    /** Returns how long another process has to observe an unchanged lease before taking it over. */
    long takeOverAfterMillis() {
        return Math.max(lengthMillis, minimumTurnMillis) + marginMillis;
    }

    /** Returns how long before the end of the validity a call under the lease ends. */
    long callMarginMillis() {
        return marginMillis;
    }

    long minimumCallMillis() {
        return MINIMUM_CALL_MILLIS;
    }

    /** Returns how long what was sent may take to arrive after its connection was reset. */
    long deliveryMillis() {
        return 2 * marginMillis;
    }
}
