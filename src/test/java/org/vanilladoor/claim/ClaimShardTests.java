package org.vanilladoor.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.standin.ObjectTable;

/** Tests one shard of the claim log against an object store that the test controls. */
class ClaimShardTests {
    private static final String PREFIX = "claims/0/";
    private final ObjectTable mTable = ObjectTable.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mTable);
    private long mNowMillis = 1_000;
    private long mEpochMillis = 1_000_000;
    private final ClaimShard mShard = shard(mStore);

    private ClaimShard shard(FakeObjectStore store) {
        return ClaimShard.create(
                PREFIX, store, Runnable::run, () -> mNowMillis, () -> mEpochMillis);
    }

    private Attempt attempt(String name, String key, String request, ClaimShard shard) {
        return new Attempt(name, key, request, shard.knownPosition(), mNowMillis + 5_000);
    }

    private ClaimOutcome settle(CompletableFuture<ClaimOutcome> outcome) {
        mStore.resolveAll();
        return outcome.join();
    }

    @Nested
    class AClaim {
        @Test
        void isGrantedToTheFirstAttempt() {
            Attempt first = attempt("a", "key", "request", mShard);
            assertThat(settle(mShard.submit(ClaimRules.CLAIM, first)).kind())
                    .isEqualTo(ClaimOutcome.Kind.GRANTED);
        }

        @Test
        void isReportedWithItsHolderToASecondAttempt() {
            settle(mShard.submit(ClaimRules.CLAIM, attempt("a", "key", "request", mShard)));
            ClaimOutcome second =
                    settle(mShard.submit(ClaimRules.CLAIM, attempt("b", "key", "request", mShard)));
            assertThat(second).isEqualTo(ClaimOutcome.taken("a"));
        }

        @Test
        void isRefusedForTheSameKeyWithAnotherRequest() {
            settle(mShard.submit(ClaimRules.CLAIM, attempt("a", "key", "request", mShard)));
            ClaimOutcome other =
                    settle(mShard.submit(ClaimRules.CLAIM, attempt("b", "key", "other", mShard)));
            assertThat(other).isEqualTo(ClaimOutcome.mismatch());
        }

        @Test
        void isGrantedAfterTheResponseToItsWriteWasLost() {
            CompletableFuture<ClaimOutcome> outcome =
                    mShard.submit(ClaimRules.CLAIM, attempt("a", "key", "request", mShard));
            mStore.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
            mStore.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
            mStore.resolveOldest(FakeObjectStore.CallOutcome.LOSE_ANSWER);
            assertThat(settle(outcome).kind()).isEqualTo(ClaimOutcome.Kind.GRANTED);
        }

        @Test
        void isUnknownWhenTheStoreDoesNotRespondBeforeTheDeadline() {
            CompletableFuture<ClaimOutcome> outcome =
                    mShard.submit(ClaimRules.CLAIM, attempt("a", "key", "request", mShard));
            mNowMillis += 10_000;
            mShard.tick();
            assertThat(outcome.join().kind()).isEqualTo(ClaimOutcome.Kind.UNKNOWN);
        }
    }

    @Nested
    class SeveralClaims {
        @Test
        void areCommittedByOneWriteWhenSubmittedDuringAnOperation() {
            List<CompletableFuture<ClaimOutcome>> outcomes = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                outcomes.add(
                        mShard.submit(ClaimRules.CLAIM, attempt("a" + i, "key" + i, "r", mShard)));
            }
            mStore.resolveAll();
            assertThat(outcomes.stream().allMatch(CompletableFuture::isDone)).isTrue();
            assertThat(mTable.writes()).isEqualTo(1);
        }

        @Test
        void continueInFurtherSegmentsThatAnotherProcessReads() {
            for (int i = 0; i < 3 * ClaimSegment.MAXIMUM_RECORDS; i++) {
                settle(mShard.submit(ClaimRules.CLAIM, attempt("a" + i, "key" + i, "r", mShard)));
            }
            assertThat(mTable.list(PREFIX).size()).isAtLeast(3);
            FakeObjectStore otherStore = FakeObjectStore.create(mTable);
            ClaimShard other = shard(otherStore);
            CompletableFuture<ClaimOutcome> retry =
                    other.submit(ClaimRules.CLAIM, attempt("b", "key7", "r", other));
            otherStore.resolveAll();
            assertThat(retry.join()).isEqualTo(ClaimOutcome.taken("a7"));
        }

        @Test
        void areDeletedWithTheirSegmentsAfterRetention() {
            for (int i = 0; i < 2 * ClaimSegment.MAXIMUM_RECORDS; i++) {
                settle(mShard.submit(ClaimRules.CLAIM, attempt("a" + i, "key" + i, "r", mShard)));
            }
            mEpochMillis += 1_000;
            settle(mShard.submit(ClaimRules.CLAIM, attempt("new", "new-key", "r", mShard)));
            int segmentsBefore = mTable.list(PREFIX).size();
            mShard.expire(mEpochMillis);
            mStore.resolveAll();
            assertThat(mTable.list(PREFIX).size()).isLessThan(segmentsBefore);
            ClaimOutcome again =
                    settle(mShard.submit(ClaimRules.CLAIM, attempt("b", "key7", "r", mShard)));
            assertThat(again.kind()).isEqualTo(ClaimOutcome.Kind.GRANTED);
        }

        @Test
        void areStillGrantedAtAProcessWhoseCurrentSegmentWasDeletedMeanwhile() {
            FakeObjectStore outdatedStore = FakeObjectStore.create(mTable);
            ClaimShard outdated = shard(outdatedStore);
            outdated.submit(ClaimRules.CLAIM, attempt("s", "first", "r", outdated));
            outdatedStore.resolveAll();
            for (int i = 0; i < 2 * ClaimSegment.MAXIMUM_RECORDS; i++) {
                settle(mShard.submit(ClaimRules.CLAIM, attempt("a" + i, "key" + i, "r", mShard)));
            }
            mEpochMillis += 1_000;
            mShard.expire(mEpochMillis);
            mStore.resolveAll();
            CompletableFuture<ClaimOutcome> late =
                    outdated.submit(ClaimRules.CLAIM, attempt("l", "late", "r", outdated));
            for (int i = 0; i < 100 && !late.isDone(); i++) {
                outdatedStore.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
            }
            assertThat(late.getNow(ClaimOutcome.unknown()).kind())
                    .isEqualTo(ClaimOutcome.Kind.GRANTED);
        }
    }
}
