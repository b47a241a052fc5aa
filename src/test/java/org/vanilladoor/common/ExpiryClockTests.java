package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that the clock follows the faster of its two source clocks and never goes back. */
class ExpiryClockTests {
    private long mMonotonicMillis = 1_000;
    private long mWallMillis = 500_000;
    private final ExpiryClock mClock =
            ExpiryClock.combining(() -> mMonotonicMillis, () -> mWallMillis);

    @Test
    void advancesWithTheWallClockWhileTheMonotonicClockIsSuspended() {
        mWallMillis += 5_000;
        assertThat(mClock.read()).isEqualTo(5_000);
    }

    @Test
    void followsTheMonotonicClockWhenTheWallClockIsSetBack() {
        mMonotonicMillis += 200;
        mWallMillis -= 3_600_000;
        assertThat(mClock.read()).isEqualTo(200);
        mMonotonicMillis += 100;
        mWallMillis += 100;
        assertThat(mClock.read()).isEqualTo(300);
    }

    @Test
    void advancesOnceWhenBothClocksAdvance() {
        mMonotonicMillis += 70;
        mWallMillis += 70;
        assertThat(mClock.read()).isEqualTo(70);
        assertThat(mClock.read()).isEqualTo(70);
    }
}
