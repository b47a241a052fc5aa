package org.vanilladoor.caller;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Distinguishes retries of callers from first attempts.
 *
 * <p>A request is a retry if an equal request of the same team is still open, or failed or was
 * refused less than 30 s ago. A request equal to one that was completed is not a retry. Invariant:
 * at most {@value #MAXIMUM_REMEMBERED_FAILURES} failures are remembered. Safe for use by any
 * thread.
 */
final class RetryDetector {
    private static final int MAXIMUM_REMEMBERED_FAILURES = 20_000;
    private static final long FAILURE_RETENTION_MILLIS = 30_000;
    private final LongSupplier mClockMillis;
    private final Map<String, Integer> mOpenCounts = new HashMap<>();
    private final Map<String, Long> mFailureMillis =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAXIMUM_REMEMBERED_FAILURES;
                }
            };

    private RetryDetector(LongSupplier clockMillis) {
        mClockMillis = clockMillis;
    }

    static RetryDetector create(LongSupplier clockMillis) {
        return new RetryDetector(clockMillis);
    }

    /** Records the start of a request and returns whether it is a retry of an earlier one. */
    synchronized boolean begin(String digest) {
        boolean open = mOpenCounts.merge(digest, 1, Integer::sum) > 1;
        Long failed = mFailureMillis.get(digest);
        boolean failedRecently =
                failed != null && mClockMillis.getAsLong() - failed < FAILURE_RETENTION_MILLIS;
        return open || failedRecently;
    }

    /** Records the end of a request. */
    synchronized void end(String digest, boolean completed) {
        mOpenCounts.computeIfPresent(digest, (key, count) -> count > 1 ? count - 1 : null);
        if (completed) {
            mFailureMillis.remove(digest);
        } else {
            mFailureMillis.put(digest, mClockMillis.getAsLong());
        }
    }
}
