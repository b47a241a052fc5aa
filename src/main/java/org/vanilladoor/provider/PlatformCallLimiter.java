package org.vanilladoor.provider;

import java.util.function.LongSupplier;

/**
 * Token bucket that limits the rate at which a process calls the platform.
 *
 * <p>Invariants: at most twice the rate is admitted in any one second (a full bucket plus one
 * second of refill). The last fifth of the bucket is reserved for writes, because leases and claims
 * depend on them. Safe for use by any thread.
 */
public final class PlatformCallLimiter {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double FRACTION_RESERVED_FOR_WRITES = 0.2;
    private final double mCallsPerSecond;
    private final LongSupplier mClockMillis;
    private double mTokens;
    private long mLastRefillMillis;

    private PlatformCallLimiter(double callsPerSecond, LongSupplier clockMillis) {
        mCallsPerSecond = callsPerSecond;
        mClockMillis = clockMillis;
        mTokens = callsPerSecond;
        mLastRefillMillis = clockMillis.getAsLong();
    }

    /**
     * Returns a limiter with a full bucket.
     *
     * @param callsPerSecond refill rate, which is also the size of the bucket
     * @param clockMillis monotonic time in milliseconds
     */
    public static PlatformCallLimiter create(double callsPerSecond, LongSupplier clockMillis) {
        return new PlatformCallLimiter(callsPerSecond, clockMillis);
    }

    /** Takes the token for one call of this kind; returns false if none is available to it. */
    public synchronized boolean tryAcquire(CallKind kind) {
        refill();
        double reserved =
                kind == CallKind.WRITE ? 0 : mCallsPerSecond * FRACTION_RESERVED_FOR_WRITES;
        if (mTokens - 1 < reserved) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    private void refill() {
        long nowMillis = mClockMillis.getAsLong();
        double elapsedSeconds = (nowMillis - mLastRefillMillis) / MILLIS_PER_SECOND;
        mTokens = Math.min(mCallsPerSecond, mTokens + elapsedSeconds * mCallsPerSecond);
        mLastRefillMillis = nowMillis;
    }
}
