package org.vanilladoor.claim;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.standin.ObjectTable;

/** Random attempts with one key at several processes, with kills, pauses and lost answers. */
class ClaimFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 4000, seed = "4201")
    void aKeyRunsAtMostOnceAndNotRunIsTrue(
            @ForAll @Size(min = 30, max = 140)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World();
        script.forEach(world::act);
        world.drain();
    }

    /** Processes with a shard each and the attempts that reached them. */
    private static final class World {
        private static final int PROCESSES = 3;
        private static final int MAXIMUM_ATTEMPTS = 6;
        private static final long PATIENCE_MILLIS = 5_000;
        private final List<Process> mProcesses = new ArrayList<>();
        private final List<Tried> mTried = new ArrayList<>();
        private final List<Integer> mRan = new ArrayList<>();
        private final List<Integer> mToldNotRun = new ArrayList<>();
        private long mNow = 1_000;

        World() {
            ObjectTable table = ObjectTable.create();
            for (int i = 0; i < PROCESSES; i++) {
                FakeObjectStore store = FakeObjectStore.create(table);
                ClaimShard shard =
                        ClaimShard.create("claims/0/", store, Runnable::run, () -> mNow, () -> 0);
                mProcesses.add(new Process(store, shard));
            }
        }

        void act(int number) {
            Process process = mProcesses.get(number / 16 % PROCESSES);
            int detail = number / 64;
            switch (number % 16) {
                case 0, 1 -> receive(process);
                case 2, 3 -> each(detail, Tried::claim);
                case 4 -> each(detail, Tried::close);
                case 5, 6, 7, 8 -> process.mStore.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
                case 9 ->
                        process.mStore.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 10 -> process.mStore.applyOldestDelayed();
                case 11 -> each(detail, Tried::run);
                case 12 -> each(detail, Tried::release);
                case 13 -> {
                    mNow += detail % 2_000;
                    process.mShard.tick();
                }
                case 14 -> process.mShard.refresh();
                default -> process.mAlive &= detail % 10 != 0;
            }
            assertPromises();
        }

        /** Lets everything that still waits come to its end. */
        void drain() {
            for (int round = 0; round < 20; round++) {
                mProcesses.forEach(process -> process.mStore.resolveAll());
                mProcesses.forEach(process -> process.mShard.tick());
                mTried.forEach(Tried::run);
                assertPromises();
            }
        }

        private void receive(Process process) {
            if (process.mAlive && mTried.size() < MAXIMUM_ATTEMPTS) {
                Attempt attempt =
                        new Attempt(
                                "attempt-" + mTried.size(),
                                "key",
                                "request",
                                process.mShard.knownPosition(),
                                mNow + PATIENCE_MILLIS);
                mTried.add(new Tried(process, mTried.size(), attempt));
            }
        }

        private void each(int detail, Consumer<Tried> action) {
            if (!mTried.isEmpty()) {
                action.accept(mTried.get(detail % mTried.size()));
            }
        }

        private void assertPromises() {
            assertWithMessage("runs %s", mRan).that(mRan.size()).isAtMost(1);
            for (int told : mToldNotRun) {
                for (int ran : mRan) {
                    assertWithMessage("attempt %s told not run, %s ran", told, ran)
                            .that(ran <= told)
                            .isFalse();
                }
            }
        }

        /** An attempt as its process handles it. */
        private final class Tried {
            private final Process mProcess;
            private final int mNumber;
            private final Attempt mAttempt;
            private CompletableFuture<ClaimOutcome> mClaim;
            private boolean mEnded;

            Tried(Process process, int number, Attempt attempt) {
                mProcess = process;
                mNumber = number;
                mAttempt = attempt;
            }

            void claim() {
                if (mProcess.mAlive && mClaim == null && !mEnded) {
                    mClaim = mProcess.mShard.submit(ClaimRules.CLAIM, mAttempt);
                    mClaim.thenAccept(this::tellIfClosed);
                }
            }

            void close() {
                if (mProcess.mAlive && mClaim == null && !mEnded) {
                    mEnded = true;
                    mProcess.mShard
                            .submit(ClaimRules.CLOSE, mAttempt)
                            .thenAccept(this::tellIfClosed);
                }
            }

            /** Hands the call over, maybe long after the claim was granted. */
            void run() {
                if (mProcess.mAlive && isGranted() && !mEnded) {
                    mEnded = true;
                    mRan.add(mNumber);
                }
            }

            /** Gives a granted claim back without handing the call over. */
            void release() {
                if (mProcess.mAlive && isGranted() && !mEnded) {
                    mEnded = true;
                    mProcess.mShard
                            .submit(ClaimRules.CLOSE, mAttempt)
                            .thenAccept(this::tellIfClosed);
                }
            }

            private boolean isGranted() {
                return mClaim != null
                        && mClaim.isDone()
                        && mClaim.join().kind() == ClaimOutcome.Kind.GRANTED;
            }

            private void tellIfClosed(ClaimOutcome outcome) {
                if (mProcess.mAlive && outcome.kind() == ClaimOutcome.Kind.CLOSED) {
                    mEnded = true;
                    mToldNotRun.add(mNumber);
                }
            }
        }

        /** A process; what it sends after its death has no answer. */
        private static final class Process {
            private final FakeObjectStore mStore;
            private final ClaimShard mShard;
            private boolean mAlive = true;

            Process(FakeObjectStore store, ClaimShard shard) {
                mStore = store;
                mShard = shard;
            }
        }
    }
}
