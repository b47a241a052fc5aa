package org.vanilladoor.caller;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tells repeated requests from first tries.
 *
 * <p>A request is a repeat if the same one of the same team is still open, or failed or was refused
 * a short while ago. Equal requests that were answered are no repeats. Invariant: remembers at most
 * a fixed number of failures. Safe for use by any thread.
 */
final class RepeatMarks {
    private static final int CAPACITY = 20_000;
    private static final long WINDOW_MILLIS = 30_000;
    private final LongSupplier mClockMillis;
    private final Map<String, Integer> mOpen = new HashMap<>();
    private final Map<String, Long> mFailed =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > CAPACITY;
                }
            };

    private RepeatMarks(LongSupplier clockMillis) {
        mClockMillis = clockMillis;
    }

    static RepeatMarks create(LongSupplier clockMillis) {
        return new RepeatMarks(clockMillis);
    }

    /** Returns whether the request that begins now repeats an earlier one. */
    synchronized boolean begin(String digest) {
        boolean open = mOpen.merge(digest, 1, Integer::sum) > 1;
        Long failed = mFailed.get(digest);
        boolean failedLately = failed != null && mClockMillis.getAsLong() - failed < WINDOW_MILLIS;
        return open || failedLately;
    }

    /** Notes the end of a request. */
    synchronized void end(String digest, boolean answered) {
        mOpen.computeIfPresent(digest, (key, count) -> count > 1 ? count - 1 : null);
        if (answered) {
            mFailed.remove(digest);
        } else {
            mFailed.put(digest, mClockMillis.getAsLong());
        }
    }
}
