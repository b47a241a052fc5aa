package org.vanilladoor.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.standin.ObjectTable;

/** Sealing and reporting of windows by holders that lose answers and leases. */
class UsageReportTests {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long WINDOW = 7;
    private static final long DUE_MILLIS = (WINDOW + 1) * WINDOW_MILLIS + 2_000;
    private final ObjectTable mTable = ObjectTable.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mTable);
    private final List<String> mReported = new ArrayList<>();
    private final MemberBoard mBoard = MemberBoard.create("members/one.1");
    private long mWallMillis = DUE_MILLIS;
    private boolean mHeld = true;
    private boolean mAnswersReports = true;

    @Test
    void aWindowIsReportedOnceItsCountsAreComplete() {
        UsageDuty duty = duty();
        count(3, WINDOW_MILLIS * WINDOW);
        duty.pulse(lease());
        assertThat(mStore.hasPending()).isFalse();
        count(4, DUE_MILLIS);
        duty.pulse(lease());
        mStore.resolveAll();
        assertThat(mReported).containsExactly("7 {team=4} 5");
        duty.pulse(lease());
        assertThat(mStore.hasPending()).isFalse();
    }

    @Test
    void whatAnotherHolderHasSealedIsReportedThoughMoreIsKnownNow() {
        mTable.write("usage/" + WINDOW, ObjectStore.ABSENT, Json.write(Map.of("team", 4L)));
        UsageDuty duty = duty();
        count(9, DUE_MILLIS);
        duty.pulse(lease());
        mStore.resolveAll();
        assertThat(mReported).containsExactly("7 {team=4} 5");
    }

    @Test
    void nothingIsReportedAfterTheLeaseWasLostWhileTheWindowWasSealed() {
        UsageDuty duty = duty();
        count(4, DUE_MILLIS);
        duty.pulse(lease());
        mHeld = false;
        mStore.resolveAll();
        assertThat(mReported).isEmpty();
    }

    @Test
    void aReportWithoutAnAnswerIsRepeatedWithTheSameFigures() {
        UsageDuty duty = duty();
        count(4, DUE_MILLIS);
        mAnswersReports = false;
        duty.pulse(lease());
        mStore.resolveAll();
        count(6, DUE_MILLIS);
        mAnswersReports = true;
        duty.pulse(lease());
        mStore.resolveAll();
        assertThat(mReported).containsExactly("7 {team=4} 5", "7 {team=4} 5");
    }

    @Test
    void afterAnOutageAWindowWaitsForTheReportsThatWereHeldBack() {
        mWallMillis = DUE_MILLIS + 10_000;
        UsageDuty duty = duty();
        list(3, WINDOW_MILLIS * WINDOW, 1_000);
        list(3, WINDOW_MILLIS * WINDOW, 20_000);
        duty.pulse(lease());
        assertThat(mStore.hasPending()).isFalse();
        list(9, mWallMillis, 21_000);
        duty.pulse(lease());
        mStore.resolveAll();
        assertThat(mReported).containsExactly("7 {team=9} 5");
    }

    @Test
    void aWindowOfAProcessThatReportsNothingMoreIsReportedOnceTheOthersHadTheirTime() {
        mWallMillis = DUE_MILLIS + 10_000;
        UsageDuty duty = duty();
        for (long now = 20_000; now <= 23_000; now += 1_000) {
            list(3, WINDOW_MILLIS * WINDOW, now);
        }
        duty.pulse(lease());
        mStore.resolveAll();
        assertThat(mReported).containsExactly("7 {team=3} 5");
    }

    @Test
    void aWindowInWhichNoRequestBeganIsReportedToo() {
        UsageDuty duty = duty();
        for (long now = 20_000; now <= 23_000; now += 1_000) {
            MemberReport report = new MemberReport("one", "1", DUE_MILLIS, Map.of(), Map.of());
            mBoard.list(List.of(new MemberBoard.Listed("members/one.1", now, report)), now);
        }
        for (int i = 0; i < 4; i++) {
            duty.pulse(lease());
            mStore.resolveAll();
        }
        assertThat(mReported).containsExactly("6 {} 5", "7 {} 5").inOrder();
    }

    private UsageDuty duty() {
        return new UsageDuty(
                mStore,
                new Reports(),
                mBoard,
                UsageLedger.create(WINDOW_MILLIS),
                () -> mWallMillis);
    }

    private void count(long requests, long wallMillis) {
        list(requests, wallMillis, requests);
    }

    private void list(long requests, long wallMillis, long nowMillis) {
        MemberReport report =
                new MemberReport(
                        "one", "1", wallMillis, Map.of(WINDOW, Map.of("team", requests)), Map.of());
        mBoard.list(List.of(new MemberBoard.Listed("members/one.1", requests, report)), nowMillis);
    }

    private FleetLease lease() {
        return new FleetLease() {
            @Override
            public boolean isHeld() {
                return mHeld;
            }

            @Override
            public Authority authority() {
                return new Authority("one", 5);
            }
        };
    }

    /** Notes reports; orders don't come up here. */
    private final class Reports extends UnexpectedOrders {
        @Override
        public CompletableFuture<Void> report(
                long window, Map<String, Long> counts, Authority authority) {
            mReported.add(window + " " + counts + " " + authority.term());
            return mAnswersReports
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(new StoreUnavailableException("no answer"));
        }
    }
}
