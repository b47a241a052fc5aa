package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which queued requests are dispatched, and when they are abandoned. */
class WaitQueueTests {
    private static final long OBJECTIVE_MILLIS = 150;
    private static final long LATEST_MILLIS = 2_000;
    private final WaitQueue mQueue = WaitQueue.create();
    private final List<String> mDispatched = new ArrayList<>();
    private final List<String> mAbandoned = new ArrayList<>();
    private int mFreeSlots;
    private int mMaximumStackDepth;
    private boolean mAdvanceOnAbandon;
    private long mNowMillis;
    private long mLongestWaitMillis;

    @Test
    void onTimeRequestsAreDispatchedBeforeLateOnesByRankThenObjective() {
        add("late", 0, 90);
        add("later objective", 0, 300);
        add("less urgent", 1, 150);
        add("sooner objective", 0, 200);
        mFreeSlots = 4;
        mQueue.advance(100);
        assertThat(mDispatched)
                .containsExactly("sooner objective", "later objective", "less urgent", "late")
                .inOrder();
    }

    @Test
    void amongLateRequestsOfOneRankTheLatestArrivalIsDispatchedFirst() {
        add("oldest", 0, 50);
        add("newest", 0, 90);
        mFreeSlots = 1;
        mQueue.advance(100);
        assertThat(mDispatched).containsExactly("newest");
        assertThat(mQueue.size()).isEqualTo(1);
    }

    @Test
    void requestStaysInTheQueueWhileNoEngineHasRoom() {
        add("waits", 0, 300);
        mQueue.advance(100);
        assertThat(mDispatched).isEmpty();
        assertThat(mQueue.size()).isEqualTo(1);
    }

    /** Guards against a request that needs much memory and holds up all others. */
    @Test
    void aRequestThatLetsOthersPassStaysInTheQueue() {
        WaitQueue.QueuedRequest large = mQueue.add(0, 200, 2_200, new PassableAttempt());
        add("small", 0, 300);
        mFreeSlots = 1;
        mQueue.advance(100);
        assertThat(mDispatched).containsExactly("small");
        assertThat(mQueue.size()).isEqualTo(1);
        mQueue.remove(large);
        assertThat(mQueue.size()).isEqualTo(0);
    }

    @Test
    void amongLateRequestsTheMostUrgentRankIsDispatchedFirst() {
        add("less urgent", 1, 90);
        add("urgent", 0, 50);
        mFreeSlots = 1;
        mQueue.advance(100);
        assertThat(mDispatched).containsExactly("urgent");
    }

    @Test
    void requestsWhoseTurnWouldComeTooLateAreAbandonedAtOnceAndTheOthersWait() {
        recordTenDeparturesPerSecond(10_000);
        for (int i = 0; i < 40; i++) {
            add("waits " + i, 0, 10_150);
        }
        mQueue.advance(10_000);
        // At 10 departures per second and 2 s of useful waiting time, about 20 can be served.
        assertThat(mQueue.size()).isIn(Range.closed(15, 25));
        assertThat(mAbandoned).hasSize(40 - mQueue.size());
        assertThat(mAbandoned).doesNotContain("waits 0");
    }

    @Test
    void abandonmentsThatEachAdvanceTheQueueDoNotRecurse() {
        mAdvanceOnAbandon = true;
        for (int i = 0; i < 2_000; i++) {
            add("waits " + i, 0, 10_150);
        }
        mQueue.advance(10_000);
        assertThat(mAbandoned).containsNoDuplicates();
        assertThat(mAbandoned.size() + mQueue.size()).isEqualTo(2_000);
        assertThat(mMaximumStackDepth).isAtMost(200);
    }

    @Test
    void noRequestIsAbandonedWhenTheQueueMovesFastEnough() {
        recordTenDeparturesPerSecond(10_000);
        for (int i = 0; i < 10; i++) {
            add("waits " + i, 0, 10_150);
        }
        mQueue.advance(10_000);
        assertThat(mAbandoned).isEmpty();
    }

    @Test
    void drainTimeIsTheQueueLengthDividedByTheDepartureRate() {
        recordTenDeparturesPerSecond(10_000);
        for (int i = 0; i < 10; i++) {
            add("waits " + i, 0, 10_150);
        }
        assertThat(mQueue.drainMillis(10_000)).isIn(Range.closed(800L, 1_200L));
    }

    @Test
    void underOverloadEveryFreeSlotIsUsedAndRequestsThatWouldBeTooLateAreAbandonedEarly() {
        // For 10 s, 30 requests arrive and 10 can be dispatched per second.
        for (long now = 0; now < 10_000; now += 100) {
            mNowMillis = now;
            for (int i = 0; i < 3; i++) {
                add("arrived at " + now, 0, now + OBJECTIVE_MILLIS);
            }
            mFreeSlots = 1;
            mQueue.advance(now);
            mQueue.recordDeparture(now);
        }
        assertThat(mDispatched).hasSize(100);
        assertThat(mAbandoned.size()).isAtLeast(150);
        assertThat(mLongestWaitMillis).isAtMost(LATEST_MILLIS * 3 / 4);
    }

    private void recordTenDeparturesPerSecond(long untilMillis) {
        for (long now = untilMillis - 5_000; now <= untilMillis; now += 100) {
            mQueue.recordDeparture(now);
        }
    }

    private void add(String name, int rank, long objectiveMillis) {
        mQueue.add(
                rank,
                objectiveMillis,
                objectiveMillis + LATEST_MILLIS,
                new WaitQueue.Attempt() {
                    @Override
                    public boolean tryDispatch() {
                        if (mFreeSlots == 0) {
                            return false;
                        }
                        mFreeSlots--;
                        mDispatched.add(name);
                        return true;
                    }

                    @Override
                    public void abandon(int ahead, long turnMillis) {
                        mAbandoned.add(name);
                        mMaximumStackDepth =
                                Math.max(
                                        mMaximumStackDepth,
                                        Thread.currentThread().getStackTrace().length);
                        if (mAdvanceOnAbandon) {
                            mQueue.advance(objectiveMillis - OBJECTIVE_MILLIS);
                        }
                        long arrivedMillis = objectiveMillis - OBJECTIVE_MILLIS;
                        mLongestWaitMillis =
                                Math.max(mLongestWaitMillis, mNowMillis - arrivedMillis);
                    }
                });
    }

    /** Finds no room and lets others pass. */
    private static final class PassableAttempt implements WaitQueue.Attempt {
        @Override
        public boolean tryDispatch() {
            return false;
        }

        @Override
        public boolean blocksOthers() {
            return false;
        }

        @Override
        public void abandon(int ahead, long turnMillis) {
            // This test ends before that.
        }
    }
}
