package org.vanilladoor.leader;

import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;

/**
 * A wall clock that ignores temporary jumps of the system clock.
 *
 * <p>Invariant: it advances with the monotonic clock. It adopts a new offset of the system clock
 * only after that offset has been stable for {@link #OFFSET_ADOPTION_MILLIS}. Confined to the
 * control thread.
 */
public final class StableWallClock {
    /** Time for which a new offset has to be stable before it is adopted, in milliseconds. */
    private static final long OFFSET_ADOPTION_MILLIS = 20_000;

    /** Change of the offset above which the system clock counts as having jumped. */
    private static final long JUMP_THRESHOLD_MILLIS = 150;

    private long mOffsetMillis = systemOffsetMillis();
    private long mObservedOffsetMillis = mOffsetMillis;
    private long mObservedSinceMillis = MonotonicClock.nowMillis();

    private StableWallClock() {}

    /** Creates a clock that starts with the current time of the system clock. */
    public static StableWallClock create() {
        return new StableWallClock();
    }

    /** Returns the wall-clock time in milliseconds since 1970. */
    public long nowMillis() {
        long monotonicMillis = MonotonicClock.nowMillis();
        long offsetMillis = systemOffsetMillis();
        if (Math.abs(offsetMillis - mObservedOffsetMillis) > JUMP_THRESHOLD_MILLIS) {
            EventLog.write("clock", "wall.jumped", "by_ms", offsetMillis - mObservedOffsetMillis);
            mObservedOffsetMillis = offsetMillis;
            mObservedSinceMillis = monotonicMillis;
        }
        if (monotonicMillis - mObservedSinceMillis > OFFSET_ADOPTION_MILLIS) {
            mOffsetMillis = mObservedOffsetMillis;
        }
        return monotonicMillis + mOffsetMillis;
    }

    private static long systemOffsetMillis() {
        return System.currentTimeMillis() - MonotonicClock.nowMillis();
    }
}
