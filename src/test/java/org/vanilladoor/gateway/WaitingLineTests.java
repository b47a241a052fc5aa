package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which waiting requests leave. */
class WaitingLineTests {
    private static final long OBJECTIVE_MILLIS = 150;
    private static final long LATEST_MILLIS = 2_000;
    private final WaitingLine mLine = WaitingLine.create();
    private final List<String> mLeft = new ArrayList<>();
    private final List<String> mGivenUp = new ArrayList<>();
    private int mRoom;
    private int mDeepestStack;
    private boolean mAdvanceOnGivingUp;
    private long mNow;
    private long mLongestHeld;

    @Test
    void thoseThatCanStillBeOnTimeGoFirstByRankAndObjective() {
        add("late", 0, 90);
        add("later objective", 0, 300);
        add("less urgent", 1, 150);
        add("sooner objective", 0, 200);
        mRoom = 4;
        mLine.advance(100);
        assertThat(mLeft)
                .containsExactly("sooner objective", "later objective", "less urgent", "late")
                .inOrder();
    }

    @Test
    void ofThoseThatWillBeLateTheOneWithTheMostTimeLeftGoesFirst() {
        add("oldest", 0, 50);
        add("newest", 0, 90);
        mRoom = 1;
        mLine.advance(100);
        assertThat(mLeft).containsExactly("newest");
        assertThat(mLine.size()).isEqualTo(1);
    }

    @Test
    void nobodyLeavesWithoutRoom() {
        add("waits", 0, 300);
        mLine.advance(100);
        assertThat(mLeft).isEmpty();
        assertThat(mLine.size()).isEqualTo(1);
    }

    @Test
    void ofThoseThatWillBeLateTheMostUrgentRankGoesFirst() {
        add("less urgent", 1, 90);
        add("urgent", 0, 50);
        mRoom = 1;
        mLine.advance(100);
        assertThat(mLeft).containsExactly("urgent");
    }

    @Test
    void thoseWhoseTurnWouldComeTooLateAreGivenUpAtOnceAndTheOthersWait() {
        leaveAtTenPerSecond(10_000);
        for (int i = 0; i < 40; i++) {
            add("waits " + i, 0, 10_150);
        }
        mLine.advance(10_000);
        // Ten a second leave, and none is of use after two seconds.
        assertThat(mLine.size()).isIn(Range.closed(15, 25));
        assertThat(mGivenUp).hasSize(40 - mLine.size());
        assertThat(mGivenUp).doesNotContain("waits 0");
    }

    @Test
    void manyThatAreGivenUpAtOnceAndEachMoveTheLineOnDoNotNest() {
        mAdvanceOnGivingUp = true;
        for (int i = 0; i < 2_000; i++) {
            add("waits " + i, 0, 10_150);
        }
        mLine.advance(10_000);
        assertThat(mGivenUp).containsNoDuplicates();
        assertThat(mGivenUp.size() + mLine.size()).isEqualTo(2_000);
        assertThat(mDeepestStack).isAtMost(200);
    }

    @Test
    void aLineThatMovesFastEnoughGivesNobodyUp() {
        leaveAtTenPerSecond(10_000);
        for (int i = 0; i < 10; i++) {
            add("waits " + i, 0, 10_150);
        }
        mLine.advance(10_000);
        assertThat(mGivenUp).isEmpty();
    }

    @Test
    void callersAreToldToComeBackOnceTheLineHasLeft() {
        leaveAtTenPerSecond(10_000);
        for (int i = 0; i < 10; i++) {
            add("waits " + i, 0, 10_150);
        }
        assertThat(mLine.drainMillis(10_000)).isIn(Range.closed(800L, 1_200L));
    }

    @Test
    void inAnOverloadThoseThatWaitLeaveAndThoseThatCanNotAreTurnedAwayEarly() {
        // Thirty a second come, ten a second can leave: what callers get over ten seconds.
        for (long now = 0; now < 10_000; now += 100) {
            mNow = now;
            for (int i = 0; i < 3; i++) {
                add("came at " + now, 0, now + OBJECTIVE_MILLIS);
            }
            mRoom = 1;
            mLine.advance(now);
            mLine.left(now);
        }
        assertThat(mLeft).hasSize(100);
        assertThat(mGivenUp.size()).isAtLeast(150);
        assertThat(mLongestHeld).isAtMost(LATEST_MILLIS * 3 / 4);
    }

    private void leaveAtTenPerSecond(long untilMillis) {
        for (long now = untilMillis - 5_000; now <= untilMillis; now += 100) {
            mLine.left(now);
        }
    }

    private void add(String name, int rank, long objectiveMillis) {
        mLine.add(
                rank,
                objectiveMillis,
                objectiveMillis + LATEST_MILLIS,
                new WaitingLine.Attempt() {
                    @Override
                    public boolean tryNow() {
                        if (mRoom == 0) {
                            return false;
                        }
                        mRoom--;
                        mLeft.add(name);
                        return true;
                    }

                    @Override
                    public void giveUp(int ahead, long turnMillis) {
                        mGivenUp.add(name);
                        mDeepestStack =
                                Math.max(
                                        mDeepestStack,
                                        Thread.currentThread().getStackTrace().length);
                        if (mAdvanceOnGivingUp) {
                            mLine.advance(objectiveMillis - OBJECTIVE_MILLIS);
                        }
                        long arrivedMillis = objectiveMillis - OBJECTIVE_MILLIS;
                        mLongestHeld = Math.max(mLongestHeld, mNow - arrivedMillis);
                    }
                });
    }
}
