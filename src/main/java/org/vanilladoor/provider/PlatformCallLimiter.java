package org.vanilladoor.provider;

import java.util.function.LongSupplier;

/**
 * Limits a process's calls to the platform.
 *
 * <p>Invariant: over any second no more than twice the rate passes; the last fifth of the budget is
 * kept for writes, since leases and claims rest on them. Safe for use by any thread.
 */
public final class PlatformCallLimiter {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double RESERVED_FOR_WRITES = 0.2;
    private final double mCallsPerSecond;
    private final LongSupplier mClockMillis;
    private double mTokens;
    private long mUpdatedMillis;

    private PlatformCallLimiter(double callsPerSecond, LongSupplier clockMillis) {
        mCallsPerSecond = callsPerSecond;
        mClockMillis = clockMillis;
        mTokens = callsPerSecond;
        mUpdatedMillis = clockMillis.getAsLong();
    }

    /**
     * Returns a full budget.
     *
     * @param callsPerSecond rate at which it refills, which is its size too
     * @param clockMillis monotonic time in milliseconds
     */
    public static PlatformCallLimiter create(double callsPerSecond, LongSupplier clockMillis) {
        return new PlatformCallLimiter(callsPerSecond, clockMillis);
    }

    /** Takes the cost of one call if the budget has it. */
    public synchronized boolean tryAcquire(CallKind kind) {
        refill();
        double kept = kind == CallKind.WRITE ? 0 : mCallsPerSecond * RESERVED_FOR_WRITES;
        if (mTokens - 1 < kept) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    private void refill() {
        long now = mClockMillis.getAsLong();
        double elapsed = (now - mUpdatedMillis) / MILLIS_PER_SECOND;
        mTokens = Math.min(mCallsPerSecond, mTokens + elapsed * mCallsPerSecond);
        mUpdatedMillis = now;
    }
}
