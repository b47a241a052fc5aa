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

/**
 * Random attempts with the same key at several processes, with process failures, pauses and lost
 * responses of the object store.
 */
class ClaimFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 4000, seed = "4201")
    void aKeyRunsAtMostOnceAndAttemptsReportedAsNotRunDidNotRun(
            @ForAll @Size(min = 30, max = 140)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        Simulation simulation = new Simulation();
        script.forEach(simulation::perform);
        simulation.finish();
    }

    /** Several processes, each with its own copy of a shard, and the attempts they received. */
    private static final class Simulation {
        private static final int PROCESSES = 3;
        private static final int MAXIMUM_ATTEMPTS = 6;
        private static final long CALLER_TIMEOUT_MILLIS = 5_000;
        private final List<Process> mProcesses = new ArrayList<>();
        private final List<SimulatedAttempt> mAttempts = new ArrayList<>();
        private final List<Integer> mRunAttempts = new ArrayList<>();
        private final List<Integer> mReportedNotRun = new ArrayList<>();
        private long mNowMillis = 1_000;

        Simulation() {
            ObjectTable table = ObjectTable.create();
            for (int i = 0; i < PROCESSES; i++) {
                FakeObjectStore store = FakeObjectStore.create(table);
                ClaimShard shard =
                        ClaimShard.create(
                                "claims/0/", store, Runnable::run, () -> mNowMillis, () -> 0);
                mProcesses.add(new Process(store, shard));
            }
        }

        /** Decodes a random number into a process, an action and its detail, and performs it. */
        void perform(int actionNumber) {
            Process process = mProcesses.get(actionNumber / 16 % PROCESSES);
            int detail = actionNumber / 64;
            switch (actionNumber % 16) {
                case 0, 1 -> receive(process);
                case 2, 3 -> withAttempt(detail, SimulatedAttempt::claim);
                case 4 -> withAttempt(detail, SimulatedAttempt::close);
                case 5, 6, 7, 8 -> process.mStore.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
                case 9 ->
                        process.mStore.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 10 -> process.mStore.applyOldestDelayed();
                case 11 -> withAttempt(detail, SimulatedAttempt::run);
                case 12 -> withAttempt(detail, SimulatedAttempt::release);
                case 13 -> {
                    mNowMillis += detail % 2_000;
                    process.mShard.tick();
                }
                case 14 -> process.mShard.refresh();
                default -> process.mAlive &= detail % 10 != 0;
            }
            assertInvariants();
        }

        /** Lets all pending store calls and operations finish. */
        void finish() {
            for (int cycle = 0; cycle < 20; cycle++) {
                mProcesses.forEach(process -> process.mStore.resolveAll());
                mProcesses.forEach(process -> process.mShard.tick());
                mAttempts.forEach(SimulatedAttempt::run);
                assertInvariants();
            }
        }

        private void receive(Process process) {
            if (process.mAlive && mAttempts.size() < MAXIMUM_ATTEMPTS) {
                Attempt attempt =
                        new Attempt(
                                "attempt-" + mAttempts.size(),
                                "key",
                                "request",
                                process.mShard.knownPosition(),
                                mNowMillis + CALLER_TIMEOUT_MILLIS);
                mAttempts.add(new SimulatedAttempt(process, mAttempts.size(), attempt));
            }
        }

        private void withAttempt(int detail, Consumer<SimulatedAttempt> action) {
            if (!mAttempts.isEmpty()) {
                action.accept(mAttempts.get(detail % mAttempts.size()));
            }
        }

        private void assertInvariants() {
            assertWithMessage("runs %s", mRunAttempts).that(mRunAttempts.size()).isAtMost(1);
            for (int notRun : mReportedNotRun) {
                for (int ran : mRunAttempts) {
                    assertWithMessage("attempt %s was reported as not run, but %s ran", notRun, ran)
                            .that(ran <= notRun)
                            .isFalse();
                }
            }
        }

        /** An attempt and the actions of the process that received it. */
        private final class SimulatedAttempt {
            private final Process mProcess;
            private final int mNumber;
            private final Attempt mAttempt;
            private CompletableFuture<ClaimOutcome> mClaim;
            private boolean mEnded;

            SimulatedAttempt(Process process, int number, Attempt attempt) {
                mProcess = process;
                mNumber = number;
                mAttempt = attempt;
            }

            void claim() {
                if (mProcess.mAlive && mClaim == null && !mEnded) {
                    mClaim = mProcess.mShard.submit(ClaimRules.CLAIM, mAttempt);
                    mClaim.thenAccept(this::recordIfClosed);
                }
            }

            void close() {
                if (mProcess.mAlive && mClaim == null && !mEnded) {
                    mEnded = true;
                    mProcess.mShard
                            .submit(ClaimRules.CLOSE, mAttempt)
                            .thenAccept(this::recordIfClosed);
                }
            }

            /** Sends the call to an endpoint, possibly long after the claim was granted. */
            void run() {
                if (mProcess.mAlive && isGranted() && !mEnded) {
                    mEnded = true;
                    mRunAttempts.add(mNumber);
                }
            }

            /** Closes an attempt whose claim was granted, without sending the call. */
            void release() {
                if (mProcess.mAlive && isGranted() && !mEnded) {
                    mEnded = true;
                    mProcess.mShard
                            .submit(ClaimRules.CLOSE, mAttempt)
                            .thenAccept(this::recordIfClosed);
                }
            }

            private boolean isGranted() {
                return mClaim != null
                        && mClaim.isDone()
                        && mClaim.join().kind() == ClaimOutcome.Kind.GRANTED;
            }

            private void recordIfClosed(ClaimOutcome outcome) {
                if (mProcess.mAlive && outcome.kind() == ClaimOutcome.Kind.CLOSED) {
                    mEnded = true;
                    mReportedNotRun.add(mNumber);
                }
            }
        }

        /** A process, which starts no action once it has been killed. */
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
