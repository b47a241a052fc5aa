package org.vanilladoor.lease;

/**
 * The times of a lease.
 *
 * <p>Invariant: the margin is shorter than the length. Immutable and safe for use by any thread.
 *
 * @param lengthMillis how long a renewal lasts, from the time at which it was sent
 * @param marginMillis by how much clocks may run apart within that time
 */
public record LeaseTiming(long lengthMillis, long marginMillis) {
    private static final int RENEWALS_PER_LENGTH = 3;

    public LeaseTiming {
        if (marginMillis < 0 || marginMillis >= lengthMillis) {
            throw new IllegalArgumentException("margin is not below the length: " + marginMillis);
        }
    }

    /** Returns the times that entries use. */
    public static LeaseTiming standard() {
        return new LeaseTiming(4_000, 500);
    }

    long renewAfterMillis() {
        return lengthMillis / RENEWALS_PER_LENGTH;
    }

    long trustMillis() {
        return lengthMillis - marginMillis;
    }

    long takeOverMillis() {
        return lengthMillis + marginMillis;
    }
}
