package org.vanilladoor.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays a customer whose prompts were quiet when requests with a crashing part and its usual first
 * part begin.
 */
class QuietCustomerLoadTests {
    private static final int FREE_CRASHES = 5;
    private static final int FURTHER_CRASHES_ALLOWED = 3;
    private static final long TIME_UNTIL_FOUND_MILLIS = 15_000;

    @ParameterizedTest(name = "{0} VMs, {1} engines, {2} parts before the crashing one, seed {3}")
    @CsvSource({
        "13, 6, 0, 1",
        "13, 6, 0, 2",
        "13, 6, 33, 1",
        "13, 840, 0, 1",
        "13, 840, 33, 2",
        "330, 6, 33, 2",
        "330, 840, 0, 1",
        "330, 840, 33, 1"
    })
    void aQuietCustomerIsServedAndTheCrashingPartIsFound(
            int vms, int engines, int partsBefore, long seed) {
        Fleet fleet = new Fleet(vms, engines, partsBefore, seed);
        fleet.run();
        assertWithMessage("crashed engines")
                .that(fleet.mCrashes)
                .isAtMost(FREE_CRASHES + FURTHER_CRASHES_ALLOWED);
        assertWithMessage("time until all VMs hold the part back")
                .that(fleet.mFoundMillis - Fleet.CRASHING_FROM_MILLIS)
                .isAtMost(TIME_UNTIL_FOUND_MILLIS);
        assertWithMessage("sound requests of the customer that were refused, of " + fleet.mSound)
                .that(fleet.mSoundRefused)
                .isAtMost(fleet.mSound / 20);
    }

    /** VMs, engines and requests on a virtual clock. */
    private static final class Fleet {
        private static final long QUIET_FROM_MILLIS = 10_000;
        private static final long CRASHING_FROM_MILLIS = 70_000;
        private static final long SOUND_FROM_MILLIS = 80_000;
        private static final long END_MILLIS = 105_000;
        private static final long SOUND_INTERVAL_MILLIS = 250;
        private static final long CRASHING_INTERVAL_MILLIS = 1_000;
        private static final long LISTING_INTERVAL_MILLIS = 5_000;
        private static final long RUN_MILLIS = 600;
        private static final long CRASH_AFTER_MILLIS = 30;
        private static final long MAXIMUM_NEWS_DELAY_MILLIS = 1_600;
        private static final double LOST_NEWS = 0.1;
        private static final int COMMON_PARTS = 4;
        private static final String FIRST = "5c1e07a2";
        private static final String CRASHING = "bad0bad0";
        private final SplittableRandom mRandom;
        private final List<PromptQuarantine> mVms;
        private final int mEngines;
        private final int mPartsBefore;
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private final List<Run> mRuns = new ArrayList<>();
        private long mNow;
        private long mNumber;
        private int mCrashes;
        private int mSound;
        private int mSoundRefused;
        private long mFoundMillis = END_MILLIS;

        Fleet(int vms, int engines, int partsBefore, long seed) {
            mRandom = new SplittableRandom(seed);
            mVms = IntStream.range(0, vms).mapToObj(vm -> PromptQuarantine.create()).toList();
            mEngines = engines;
            mPartsBefore = partsBefore;
        }

        void run() {
            for (long millis = 0; millis < END_MILLIS; millis += 10) {
                schedule(millis, () -> send(List.of("c" + mRandom.nextInt(COMMON_PARTS)), false));
            }
            for (long millis = 0; millis < QUIET_FROM_MILLIS; millis += SOUND_INTERVAL_MILLIS) {
                schedule(millis, () -> send(List.of(FIRST), false));
            }
            for (long millis = CRASHING_FROM_MILLIS;
                    millis < END_MILLIS;
                    millis += CRASHING_INTERVAL_MILLIS) {
                schedule(millis, () -> send(crashingParts(), true));
            }
            for (long millis = SOUND_FROM_MILLIS;
                    millis < END_MILLIS;
                    millis += SOUND_INTERVAL_MILLIS) {
                schedule(millis, this::sendJudged);
            }
            for (long millis = CRASHING_FROM_MILLIS;
                    millis < END_MILLIS;
                    millis += LISTING_INTERVAL_MILLIS) {
                schedule(millis, this::listEverywhere);
            }
            while (!mEvents.isEmpty() && mEvents.peek().millis() < END_MILLIS) {
                Event event = mEvents.poll();
                mNow = event.millis();
                event.action().run();
            }
        }

        private List<String> crashingParts() {
            List<String> parts = new ArrayList<>(List.of(FIRST));
            for (int place = 0; place < mPartsBefore; place++) {
                parts.add("p" + mNow + "/" + place);
            }
            parts.add(CRASHING);
            return parts;
        }

        private void sendJudged() {
            mSound++;
            mSoundRefused += send(List.of(FIRST), false) ? 0 : 1;
        }

        private boolean send(List<String> parts, boolean isCrashing) {
            PromptQuarantine vm = mVms.get(mRandom.nextInt(mVms.size()));
            if (vm.verdict(parts) == PromptVerdict.QUARANTINED) {
                return false;
            }
            Run run = new Run(mNumber, vm, parts, mRandom.nextInt(mEngines));
            mRuns.add(run);
            if (isCrashing) {
                schedule(mNow + CRASH_AFTER_MILLIS, () -> crash(run.engine()));
            } else {
                schedule(mNow + RUN_MILLIS, () -> answer(run));
            }
            return true;
        }

        private void answer(Run run) {
            if (mRuns.remove(run)) {
                tellIfChanged(run.vm(), () -> run.vm().recordAnswer(run.parts(), mNow));
            }
        }

        private void crash(int engine) {
            mCrashes++;
            String incarnation = "e" + engine + "@" + mNow;
            List<Run> lost = mRuns.stream().filter(run -> run.engine() == engine).toList();
            mRuns.removeAll(lost);
            for (Run run : lost) {
                tellIfChanged(run.vm(), () -> run.vm().recordCrash(incarnation, run.parts(), mNow));
            }
        }

        private void tellIfChanged(PromptQuarantine vm, Runnable observation) {
            long revision = vm.revision();
            observation.run();
            if (vm.revision() == revision) {
                return;
            }
            CrashReport report = vm.report();
            for (PromptQuarantine other : mVms) {
                if (other != vm && mRandom.nextDouble() >= LOST_NEWS) {
                    long millis = mNow + mRandom.nextLong(MAXIMUM_NEWS_DELAY_MILLIS);
                    schedule(millis, () -> merge(other, report));
                }
            }
        }

        private void merge(PromptQuarantine vm, CrashReport report) {
            tellIfChanged(vm, () -> vm.merge(report, mNow));
            if (mFoundMillis == END_MILLIS && mVms.stream().allMatch(this::holdsBack)) {
                mFoundMillis = mNow;
            }
        }

        private boolean holdsBack(PromptQuarantine vm) {
            return vm.verdict(List.of(CRASHING)) == PromptVerdict.QUARANTINED;
        }

        private void listEverywhere() {
            PromptQuarantine all = PromptQuarantine.create();
            mVms.forEach(vm -> all.merge(vm.report(), mNow));
            CrashReport report = all.report();
            for (PromptQuarantine vm : mVms) {
                if (vm.quarantinedParts() > 0) {
                    merge(vm, report);
                }
            }
        }

        private void schedule(long millis, Runnable action) {
            mEvents.add(new Event(millis, mNumber++, action));
        }
    }

    /** A request at an engine. */
    private record Run(long number, PromptQuarantine vm, List<String> parts, int engine) {}

    /** An action at a time; the number keeps actions of one time in order. */
    private record Event(long millis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis != other.millis
                    ? Long.compare(millis, other.millis)
                    : Long.compare(number, other.number);
        }
    }
}
