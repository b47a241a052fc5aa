package org.vanilladoor.order;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.authority.LeaseCore;
import org.vanilladoor.authority.LeaseStep;
import org.vanilladoor.authority.LeaseTiming;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.standin.ObjectTable;

/** Random steps, pauses, kills, lost answers and races of processes that give orders. */
class OrderFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 3000, seed = "4101")
    void aTargetThatDoesNotCheckTermsNeverGetsAStaleOrderAfterANewerOneWasSent(
            @ForAll @Size(min = 40, max = 200)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World(false);
        script.forEach(world::act);
    }

    @Property(tries = 3000, seed = "4102")
    void aTargetThatChecksTermsNeverAppliesAStaleOrder(
            @ForAll @Size(min = 40, max = 200)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World(true);
        script.forEach(world::act);
    }

    /** Processes, one target and the object API, driven by numbers. */
    private static final class World {
        private static final int PROCESSES = 2;
        private static final String TARGET = "engine";
        private final ObjectTable mTable = ObjectTable.create();
        private final boolean mChecksTerms;
        private final List<Process> mProcesses = new ArrayList<>();
        private final List<OpenOrder> mFlying = new ArrayList<>();
        private final List<OpenOrder> mSent = new ArrayList<>();
        private String mApplied = "";
        private long mHighestAppliedTerm;
        private long mNow = 1_000_000;

        World(boolean checksTerms) {
            mChecksTerms = checksTerms;
            for (int i = 0; i < PROCESSES; i++) {
                mProcesses.add(new Process("process-" + i, mTable, () -> mNow));
            }
        }

        void act(int number) {
            Process process = mProcesses.get(number / 16 % PROCESSES);
            int detail = number / 64;
            switch (number % 16) {
                case 0, 1, 2 -> process.work(mNow);
                case 3 -> process.pulse(mNow);
                case 4 ->
                        process.mStore.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 5 -> process.mStore.applyOldestDelayed();
                case 6 -> mNow += detail % 900;
                case 7 -> mNow += 4_500 + detail % 1_000;
                case 8, 9 -> {
                    process.propose(detail % 2 == 0, mChecksTerms, mNow);
                    process.work(mNow);
                }
                case 10, 11 -> process.take(mNow);
                case 12, 13 -> send(process, detail);
                case 14 -> deliver(detail);
                default -> observe(process, detail);
            }
            assertOneHolder();
        }

        private void send(Process process, int detail) {
            if (process.mAlive && !process.mAboutToSend.isEmpty()) {
                OpenOrder order = process.mAboutToSend.remove(0);
                mSent.add(order);
                mFlying.add(order);
            } else if (detail % 8 == 0) {
                process.die();
            }
        }

        private void deliver(int detail) {
            if (mFlying.isEmpty()) {
                return;
            }
            OpenOrder order = mFlying.remove(detail % mFlying.size());
            Process sender = byName(order.writer());
            if (mChecksTerms && order.term() < mHighestAppliedTerm) {
                if (sender.mAlive) {
                    sender.mOrders.refused(order.identifier());
                }
                return;
            }
            boolean conflict =
                    mSent.stream()
                            .anyMatch(
                                    other ->
                                            other.term() > order.term()
                                                    && !other.content().equals(order.content()));
            if (!mChecksTerms) {
                assertWithMessage("order of term %s arrives after a newer one", order.term())
                        .that(conflict)
                        .isFalse();
            }
            mHighestAppliedTerm = Math.max(mHighestAppliedTerm, order.term());
            mApplied = order.identifier();
            if (detail % 3 > 0 && sender.mAlive) {
                sender.mOrders.settled(order.identifier(), mNow);
            }
        }

        private void observe(Process process, int detail) {
            if (!process.mAlive) {
                return;
            }
            Process other = mProcesses.get(detail % PROCESSES);
            boolean flying = mFlying.stream().anyMatch(order -> order.writer().equals(other.mName));
            switch (detail / 8 % 3) {
                case 0 -> process.mOrders.seen(TARGET, mApplied, mNow);
                case 1 -> {
                    if (!other.mAlive && !flying) {
                        process.mOrders.writerGone(other.mName, mNow);
                    }
                }
                default -> askToStop(process, other);
            }
        }

        private void askToStop(Process process, Process other) {
            Optional<OpenOrder> open = process.mOrders.journal().openFor(TARGET);
            boolean asks =
                    other.mAlive
                            && process != other
                            && process.mOrders.mayAct(mNow)
                            && open.isPresent()
                            && open.get().writer().equals(other.mName);
            if (asks && other.mOrders.stop(other.mName, open.get().term())) {
                process.mOrders.writerGone(other.mName, mNow);
            }
        }

        private Process byName(String name) {
            return mProcesses.stream().filter(p -> p.mName.equals(name)).findFirst().orElseThrow();
        }

        private void assertOneHolder() {
            long holders =
                    mProcesses.stream().filter(p -> p.mAlive && p.mLease.isHeld(mNow)).count();
            assertWithMessage("holders at once").that(holders).isAtMost(1);
        }

        /** A process that may stand still between any two of its steps. */
        private static final class Process {
            private final String mName;
            private final FakeObjectStore mStore;
            private final LeaseCore mLease;
            private final OrderCore mOrders;
            private final List<OpenOrder> mAboutToSend = new ArrayList<>();
            private boolean mAlive = true;
            private final LongSupplier mClock;

            Process(String name, ObjectTable table, LongSupplier clock) {
                mName = name;
                mClock = clock;
                mStore = FakeObjectStore.create(table);
                mLease = LeaseCore.create(name, new LeaseTiming(4_000, 500));
                mOrders = OrderCore.create("orders", name, mLease);
                mLease.want(true);
            }

            void pulse(long now) {
                LeaseStep step = mAlive ? mLease.next(now) : new LeaseStep.Wait();
                if (step instanceof LeaseStep.Read) {
                    mStore.read("lease").whenComplete(this::read);
                } else if (step instanceof LeaseStep.Write write) {
                    mStore.write("lease", write.expectedVersion(), Json.write(write.record()))
                            .whenComplete(this::written);
                }
            }

            /** Takes steps whose calls are answered at once. */
            void work(long now) {
                mStore.resolveAll();
                pulse(now);
                mStore.resolveAll();
                pulse(now);
                mStore.resolveAll();
            }

            private void read(Optional<StoredObject> found, Throwable failure) {
                if (failure != null) {
                    mLease.readFailed();
                } else {
                    mLease.read(found, mClock.getAsLong());
                }
            }

            private void written(Long version, Throwable failure) {
                if (failure != null) {
                    mLease.writeFailed();
                } else {
                    mLease.written(version, mClock.getAsLong());
                }
            }

            void propose(boolean prefill, boolean checksTerms, long now) {
                if (mAlive) {
                    mOrders.order(TARGET, prefill ? "PREFILL" : "DECODE", checksTerms, now);
                }
            }

            void take(long now) {
                if (mAlive) {
                    mAboutToSend.addAll(mOrders.takeSendable(now));
                }
            }

            void die() {
                mAlive = false;
                mAboutToSend.clear();
            }
        }
    }
}
