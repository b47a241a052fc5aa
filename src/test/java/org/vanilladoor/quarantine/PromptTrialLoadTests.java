package org.vanilladoor.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoints;

/**
 * Guards against customers that are held back for good with the part of a prompt that crashes
 * engines, since no process is left that knows an answer to their requests.
 */
class PromptTrialLoadTests {
    private static final int CRASHES_THAT_COUNT = 5;
    private static final int FURTHER_CRASHES_ALLOWED = 3;
    private static final long CONTACT_MILLIS = 3_000;

    @ParameterizedTest(name = "{0}")
    @MethodSource("plays")
    void customersAreServedAndTheCrashingPartIsHeldBack(Play play) {
        Fleet fleet = new Fleet(play);
        fleet.run();
        List<Long> crashes = fleet.mCrashMillis;
        long lastCountedMillis = crashes.get(Math.min(CRASHES_THAT_COUNT, crashes.size()) - 1);
        assertWithMessage("crashes at %s, later than allowed", crashes)
                .that(
                        crashes.stream()
                                .filter(millis -> millis > lastCountedMillis + CONTACT_MILLIS)
                                .count())
                .isAtMost(FURTHER_CRASHES_ALLOWED);
        long fromMillis = lastCountedMillis + 2 * CONTACT_MILLIS;
        long judged = fleet.mSound.stream().filter(sent -> sent.millis() >= fromMillis).count();
        long begun =
                fleet.mSound.stream()
                        .filter(sent -> sent.millis() >= fromMillis && sent.hasBegun()[0])
                        .count();
        assertWithMessage("sound requests that began, of %s, crashes at %s", judged, crashes)
                .that(2 * begun)
                .isAtLeast(judged);
    }

    static Stream<Play> plays() {
        List<Play> plays = new ArrayList<>();
        for (int vms : List.of(1, 3, 13, 95)) {
            for (int sharedParts : List.of(1, 3)) {
                for (int customers : List.of(1, 2)) {
                    for (Restart restart : Restart.values()) {
                        for (long interval : List.of(150L, 2_000L)) {
                            plays.add(
                                    new Play(
                                            vms,
                                            sharedParts,
                                            customers,
                                            restart,
                                            interval,
                                            plays.size()));
                        }
                    }
                }
            }
        }
        return plays.stream();
    }

    /** Which VMs lose what they know, and when. */
    private enum Restart {
        ALL_BEFORE,
        ONE_BEFORE,
        ALL_AFTER_TWO_CRASHES,
        ALL_WHILE_IN_DOUBT
    }

    /**
     * One play.
     *
     * @param sharedParts number of parts that all requests of a customer share
     * @param customers number of customers whose parts are in each crashing request
     * @param soundIntervalMillis time between sound requests
     */
    private record Play(
            int vms,
            int sharedParts,
            int customers,
            Restart restart,
            long soundIntervalMillis,
            long seed) {}

    /** A sound request, and whether it has reached an engine. */
    private record Sent(long millis, boolean[] hasBegun) {}

    private record Event(long millis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis != other.millis
                    ? Long.compare(millis, other.millis)
                    : Long.compare(number, other.number);
        }
    }

    /** VMs, engines, a store and requests on a virtual clock. */
    private static final class Fleet {
        private static final long QUIET_FROM_MILLIS = 10_000;
        private static final long RESTART_MILLIS = 12_000;
        private static final long CRASHING_FROM_MILLIS = 25_000;
        private static final long SOUND_FROM_MILLIS = 35_000;
        private static final long END_MILLIS = 75_000;
        private static final long CRASHING_INTERVAL_MILLIS = 1_000;
        private static final long TICK_MILLIS = 25;
        private static final long WAIT_MILLIS = 1_000;
        private static final long ANSWER_MILLIS = 60;
        private static final long MAXIMUM_STORE_MILLIS = 30;
        private static final long MAXIMUM_NEWS_MILLIS = 1_600;
        private static final double LOST_NEWS = 0.1;
        private static final String CRASHING = "dead0bad";
        private final Play mPlay;
        private final SplittableRandom mRandom;
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private final List<Vm> mVms = new ArrayList<>();
        private final Map<Integer, CrashReport> mReports = new HashMap<>();
        private final Map<String, Set<String>> mTrials = new HashMap<>();
        private final List<Long> mCrashMillis = new ArrayList<>();
        private final List<Sent> mSound = new ArrayList<>();
        private long mTrialsVersion;
        private long mNow;
        private long mNumber;

        Fleet(Play play) {
            mPlay = play;
            mRandom = new SplittableRandom(play.seed());
            IntStream.range(0, play.vms()).forEach(vm -> mVms.add(new Vm(vm, 0)));
        }

        void run() {
            every(mPlay.soundIntervalMillis(), 0, QUIET_FROM_MILLIS, () -> sendSound(false));
            every(CRASHING_INTERVAL_MILLIS, CRASHING_FROM_MILLIS, END_MILLIS, this::sendCrashing);
            every(
                    mPlay.soundIntervalMillis(),
                    SOUND_FROM_MILLIS,
                    END_MILLIS,
                    () -> sendSound(true));
            every(TICK_MILLIS, 0, END_MILLIS, () -> mVms.forEach(vm -> vm.mGuard.tick(mNow)));
            at(restartMillis(), this::restart);
            while (!mEvents.isEmpty() && mEvents.peek().millis() < END_MILLIS) {
                Event event = mEvents.poll();
                mNow = event.millis();
                event.action().run();
            }
        }

        private long restartMillis() {
            return switch (mPlay.restart()) {
                case ALL_BEFORE, ONE_BEFORE -> RESTART_MILLIS;
                case ALL_AFTER_TWO_CRASHES ->
                        CRASHING_FROM_MILLIS + 2 * CRASHING_INTERVAL_MILLIS + 500;
                case ALL_WHILE_IN_DOUBT -> SOUND_FROM_MILLIS + 20;
            };
        }

        private void restart() {
            if (mPlay.restart() != Restart.ONE_BEFORE) {
                // What was learned before the crashes is gone in any case.
                mVms.replaceAll(vm -> vm.restarted());
            } else {
                mVms.set(0, mVms.get(0).restarted());
            }
        }

        private List<String> customersParts(int customer) {
            return IntStream.range(0, mPlay.sharedParts())
                    .mapToObj(part -> "c" + customer + "/" + part)
                    .toList();
        }

        private void sendSound(boolean isJudged) {
            Sent sent = new Sent(mNow, new boolean[1]);
            if (isJudged) {
                mSound.add(sent);
            }
            List<String> parts = customersParts(mRandom.nextInt(mPlay.customers()));
            vm().send(parts, sent.hasBegun());
        }

        private void sendCrashing() {
            List<String> parts = new ArrayList<>();
            for (int customer = 0; customer < mPlay.customers(); customer++) {
                parts.addAll(customersParts(customer));
            }
            parts.add(CRASHING);
            vm().send(parts, new boolean[1]);
        }

        private Vm vm() {
            return mVms.get(mRandom.nextInt(mVms.size()));
        }

        private CrashReport trials() {
            Map<String, CrashReport.Part> parts = new HashMap<>();
            mTrials.forEach(
                    (part, trials) ->
                            parts.put(part, new CrashReport.Part(Set.of(), Set.of(), trials, 0)));
            return new CrashReport(parts);
        }

        private void every(long interval, long from, long until, Runnable action) {
            for (long millis = from; millis < until; millis += interval) {
                at(millis, action);
            }
        }

        private void at(long millis, Runnable action) {
            mEvents.add(new Event(millis, mNumber++, action));
        }

        private void afterStoreCall(Runnable action) {
            at(mNow + 1 + mRandom.nextLong(MAXIMUM_STORE_MILLIS), action);
        }

        /** One process; a restarted one knows only what is in the store. */
        private final class Vm implements CrashReportPublisher {
            private final int mIndex;
            private final int mStarts;
            private final PromptQuarantine mQuarantine = PromptQuarantine.create();
            private final PromptGuard mGuard;
            private boolean mReading;

            Vm(int index, int starts) {
                mIndex = index;
                mStarts = starts;
                mGuard = PromptGuard.create(mQuarantine, this, "vm" + index + "." + starts);
            }

            Vm restarted() {
                Vm restarted = new Vm(mIndex, mStarts + 1);
                restarted.read();
                return restarted;
            }

            void send(List<String> parts, boolean[] hasBegun) {
                PromptVerdict verdict = mGuard.verdict(parts, mNow);
                if (verdict == PromptVerdict.IN_DOUBT) {
                    mGuard.awaitVerdict(
                            parts, mNow, WAIT_MILLIS, later -> go(later, parts, hasBegun));
                } else {
                    go(verdict, parts, hasBegun);
                }
            }

            private void go(PromptVerdict verdict, List<String> parts, boolean[] hasBegun) {
                if (verdict == PromptVerdict.QUARANTINED || verdict == PromptVerdict.IN_DOUBT) {
                    return;
                }
                hasBegun[0] = true;
                at(mNow + ANSWER_MILLIS, () -> end(parts));
            }

            private void end(List<String> parts) {
                if (!parts.contains(CRASHING)) {
                    mGuard.recordAnswer(parts, mNow);
                    return;
                }
                mCrashMillis.add(mNow);
                mGuard.recordCrash(
                        Endpoints.engine("e" + mCrashMillis.size(), "a", EngineRole.DECODE),
                        parts,
                        mNow);
            }

            @Override
            public void publish(Optional<String> crashedEngine) {
                afterStoreCall(
                        () -> {
                            mReports.put(mIndex, mQuarantine.report());
                            if (crashedEngine.isPresent()) {
                                tellOthers();
                            }
                        });
            }

            private void tellOthers() {
                for (int vm = 0; vm < mVms.size(); vm++) {
                    int index = vm;
                    if (mRandom.nextDouble() >= LOST_NEWS) {
                        at(
                                mNow + mRandom.nextLong(MAXIMUM_NEWS_MILLIS),
                                () -> mVms.get(index).read());
                    }
                }
            }

            @Override
            public void requestRead() {
                if (!mReading) {
                    mReading = true;
                    afterStoreCall(this::read);
                }
            }

            private void read() {
                mReading = false;
                long revision = mQuarantine.revision();
                mReports.values().forEach(report -> mQuarantine.merge(report, mNow));
                mQuarantine.merge(trials(), mNow);
                if (mQuarantine.revision() != revision) {
                    publish(Optional.empty());
                }
            }

            @Override
            public CompletableFuture<Boolean> claimTrial(
                    Collection<String> parts, String trial, BooleanSupplier isStillDue) {
                CompletableFuture<Boolean> result = new CompletableFuture<>();
                afterStoreCall(
                        () -> {
                            read();
                            long version = mTrialsVersion;
                            if (!isStillDue.getAsBoolean()) {
                                result.complete(false);
                                return;
                            }
                            afterStoreCall(() -> result.complete(write(version, parts, trial)));
                        });
                return result;
            }

            private boolean write(long version, Collection<String> parts, String trial) {
                if (version != mTrialsVersion) {
                    return false;
                }
                mTrialsVersion++;
                parts.forEach(
                        part -> mTrials.computeIfAbsent(part, key -> new HashSet<>()).add(trial));
                return true;
            }
        }
    }
}
