package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A clock that may end a trust early but never late. */
class ExpiryClockTests {
    private long mMonotonic = 1_000;
    private long mWall = 500_000;
    private final ExpiryClock mClock = ExpiryClock.over(() -> mMonotonic, () -> mWall);

    @Test
    void aSuspensionCountsThoughTheMonotonicClockStoodStill() {
        mWall += 5_000;
        assertThat(mClock.read()).isEqualTo(5_000);
    }

    @Test
    void aWallClockThatIsSetBackChangesNothing() {
        mMonotonic += 200;
        mWall -= 3_600_000;
        assertThat(mClock.read()).isEqualTo(200);
        mMonotonic += 100;
        mWall += 100;
        assertThat(mClock.read()).isEqualTo(300);
    }

    @Test
    void timeThatPassesOnBothClocksCountsOnce() {
        mMonotonic += 70;
        mWall += 70;
        assertThat(mClock.read()).isEqualTo(70);
        assertThat(mClock.read()).isEqualTo(70);
    }
}
