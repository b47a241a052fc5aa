package org.vanilladoor.duty;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.standin.ObjectTable;

/** Random pulses, restarts, lost and late answers of holders that report the same windows. */
class UsageDutyFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;
    private static final long WINDOW_MILLIS = 5_000;

    @Property(tries = 2000, seed = "4301")
    void aWindowIsNeverReportedWithTwoFiguresAndIsReportedInTheEnd(
            @ForAll @Size(min = 40, max = 200)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World();
        script.forEach(world::act);
        world.settle();
    }

    /** Two processes that may both believe to hold the lease, and the platform that they tell. */
    private static final class World extends UnexpectedOrders {
        private static final int PROCESSES = 2;
        private final ObjectTable mTable = ObjectTable.create();
        private final List<Process> mProcesses = new ArrayList<>();
        private final Map<Long, Map<String, Long>> mReported = new HashMap<>();
        private final UsageLedger mWindows = UsageLedger.create(WINDOW_MILLIS);
        private boolean mAnswers = true;
        private long mNow = 1_000_000;
        private long mCounted;

        World() {
            for (int i = 0; i < PROCESSES; i++) {
                mProcesses.add(new Process("vm-" + i));
            }
        }

        void act(int number) {
            Process process = mProcesses.get(number / 10 % PROCESSES);
            int detail = number / 100;
            switch (number % 10) {
                case 0, 1, 2 -> process.mDuty.pulse(process);
                case 3, 4 ->
                        process.mStore.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 5 -> process.mStore.applyOldestDelayed();
                case 6 -> process.list(++mCounted);
                case 7 -> process.mHeld = !process.mHeld;
                case 8 -> mNow += detail % 4_000;
                default -> {
                    mAnswers = detail % 3 > 0;
                    if (detail % 5 == 0) {
                        process.restart();
                    }
                }
            }
        }

        /** Once answers come again, a holder reports what is due. */
        void settle() {
            mAnswers = true;
            Process holder = mProcesses.get(0);
            holder.restart();
            holder.mHeld = true;
            mNow += 2 * WINDOW_MILLIS;
            for (int i = 0; i < 20; i++) {
                holder.list(++mCounted);
                holder.mDuty.pulse(holder);
                holder.mStore.resolveAll();
            }
            assertThat(mReported).containsKey(mWindows.windowAt(mNow) - 2);
        }

        @Override
        public CompletableFuture<Void> report(
                long window, Map<String, Long> counts, Authority authority) {
            Map<String, Long> before = mReported.putIfAbsent(window, Map.copyOf(counts));
            if (before != null) {
                assertWithMessage("window %s", window).that(counts).isEqualTo(before);
            }
            return mAnswers
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(new StoreUnavailableException("no answer"));
        }

        /** A process that reports, with its own view of the counts. */
        private final class Process implements FleetLease {
            private final String mName;
            private FakeObjectStore mStore;
            private MemberBoard mBoard;
            private UsageDuty mDuty;
            private boolean mHeld;

            Process(String name) {
                mName = name;
                restart();
            }

            void restart() {
                // What its forerunner has sent may still take effect.
                if (mStore != null) {
                    mStore.resolveOldest(FakeObjectStore.CallOutcome.LOSE_ANSWER);
                }
                mStore = FakeObjectStore.create(mTable);
                mBoard = MemberBoard.create("members/" + mName);
                mDuty = new UsageDuty(mStore, World.this, mBoard, mWindows, () -> mNow);
                mHeld = false;
            }

            void list(long counted) {
                Map<Long, Map<String, Long>> usage = new HashMap<>();
                long current = mWindows.windowAt(mNow);
                for (long window = current - 3; window <= current; window++) {
                    usage.put(window, Map.of("team", counted));
                }
                MemberReport report = new MemberReport(mName, "1", mNow, usage, Map.of());
                mBoard.list(
                        List.of(new MemberBoard.Listed("members/" + mName, counted, report)), mNow);
            }

            @Override
            public boolean isHeld() {
                return mHeld;
            }

            @Override
            public Authority authority() {
                return new Authority(mName, 5);
            }
        }
    }
}
