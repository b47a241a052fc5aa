package org.vanilladoor.leader;

import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;

/**
 * A wall clock that does not follow jumps which are taken back.
 *
 * <p>Invariant: it runs with the monotonic clock and takes the system's time over only once that
 * has differed by about the same for {@link #SETTLED_MILLIS}. Belongs to the control thread.
 */
public final class WallTime {
    /** Time after which a jump of the system's clock is believed, in milliseconds. */
    private static final long SETTLED_MILLIS = 20_000;

    private static final long JUMP_MILLIS = 150;
    private long mOffsetMillis = offset();
    private long mOffsetSeen = mOffsetMillis;
    private long mSeenSinceMillis = MonotonicClock.nowMillis();

    private WallTime() {}

    /** Returns a clock that believes the system's time of now. */
    public static WallTime create() {
        return new WallTime();
    }

    /** Returns the wall time in milliseconds since 1970. */
    public long nowMillis() {
        long monotonic = MonotonicClock.nowMillis();
        long offset = offset();
        if (Math.abs(offset - mOffsetSeen) > JUMP_MILLIS) {
            EventLog.write("clock", "wall.jumped", "by_ms", offset - mOffsetSeen);
            mOffsetSeen = offset;
            mSeenSinceMillis = monotonic;
        }
        if (monotonic - mSeenSinceMillis > SETTLED_MILLIS) {
            mOffsetMillis = mOffsetSeen;
        }
        return monotonic + mOffsetMillis;
    }

    private static long offset() {
        return System.currentTimeMillis() - MonotonicClock.nowMillis();
    }
}
