package org.vanilladoor.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Checks which prompt parts are blamed for crashes of engines. */
class PromptQuarantineTests {
    private static final long NOW_MILLIS = 1_000_000;
    private static final String CRASHING = "dead";
    private static final String COMMON = "c0";
    private final PromptQuarantine mQuarantine = PromptQuarantine.create();

    @Test
    void aPartIsQuarantinedAfterCrashesOfThreeEngines() {
        mQuarantine.recordCrash("e1", List.of(CRASHING), NOW_MILLIS);
        mQuarantine.recordCrash("e2", List.of(CRASHING), NOW_MILLIS);
        mQuarantine.recordCrash("e2", List.of(CRASHING), NOW_MILLIS);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.SUSPECT);
        mQuarantine.recordCrash("e3", List.of(CRASHING), NOW_MILLIS);
        assertThat(mQuarantine.verdict(List.of("x", CRASHING)))
                .isEqualTo(PromptVerdict.QUARANTINED);
        assertThat(mQuarantine.verdict(List.of("x"))).isEqualTo(PromptVerdict.SOUND);
    }

    @Test
    void aPartThatWasAnsweredRecentlyIsNotBlamedForTheCrashesBesideIt() {
        mQuarantine.recordAnswer(List.of(COMMON), NOW_MILLIS);
        crash(5, List.of(COMMON, CRASHING), NOW_MILLIS + 1_000);
        assertThat(mQuarantine.verdict(List.of(COMMON))).isEqualTo(PromptVerdict.SOUND);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aPartThatWasAnsweredLongAgoIsBlamed() {
        mQuarantine.recordAnswer(List.of(CRASHING), NOW_MILLIS);
        crash(3, List.of(CRASHING), NOW_MILLIS + PromptQuarantine.RECENT_ANSWER_MILLIS);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void anAnswerAfterwardsLiftsTheSuspicionOnAllVms() {
        crash(3, List.of(COMMON), NOW_MILLIS);
        PromptQuarantine other = PromptQuarantine.create();
        other.merge(mQuarantine.report(), NOW_MILLIS);
        assertThat(other.verdict(List.of(COMMON))).isEqualTo(PromptVerdict.QUARANTINED);
        other.recordAnswer(List.of(COMMON), NOW_MILLIS + 1);
        mQuarantine.merge(other.report(), NOW_MILLIS + 2);
        assertThat(mQuarantine.verdict(List.of(COMMON))).isEqualTo(PromptVerdict.SOUND);
    }

    @Test
    void crashesThatDifferentVmsSawAddUp() {
        List<PromptQuarantine> vms =
                IntStream.range(0, 3).mapToObj(vm -> PromptQuarantine.create()).toList();
        for (int vm = 0; vm < vms.size(); vm++) {
            vms.get(vm).recordCrash("e" + vm, List.of(CRASHING), NOW_MILLIS);
        }
        vms.forEach(vm -> mQuarantine.merge(vm.report(), NOW_MILLIS));
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void partsThatCallersMakeUpDoNotDisplaceAQuarantinedOne() {
        crash(3, List.of(CRASHING), NOW_MILLIS);
        for (int number = 0; number < 2_000; number++) {
            mQuarantine.recordCrash("e" + number, List.of("p" + number), NOW_MILLIS + number);
        }
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
        assertThat(mQuarantine.report().parts().size()).isAtMost(PromptQuarantine.MAXIMUM_SUSPECTS);
    }

    /** News arrive late, repeatedly and in any order; with all of them, all VMs agree. */
    @Property(tries = 300, seed = "2202")
    void allVmsReachTheSameVerdictWhateverTheOrderOfTheNews(
            @ForAll @Size(min = 5, max = 60)
                    List<@IntRange(min = 0, max = 100_000) Integer> script) {
        List<PromptQuarantine> vms =
                IntStream.range(0, 4).mapToObj(vm -> PromptQuarantine.create()).toList();
        List<CrashReport> sent = new ArrayList<>();
        long now = NOW_MILLIS;
        for (int number : script) {
            now += 50;
            PromptQuarantine vm = vms.get(number % vms.size());
            String part = "p" + number / 4 % 3;
            switch (number / 12 % 4) {
                case 0, 1 -> vm.recordCrash("e" + number / 48 % 6, List.of(part), now);
                case 2 -> vm.recordAnswer(List.of(part), now);
                default -> {
                    if (!sent.isEmpty()) {
                        vm.merge(sent.get(number / 48 % sent.size()), now);
                    }
                }
            }
            sent.add(vm.report());
        }
        // An answer vouches for its parts for a while, so the last exchange comes after that.
        now += PromptQuarantine.RECENT_ANSWER_MILLIS;
        for (int round = 0; round < 2; round++) {
            for (PromptQuarantine vm : vms) {
                CrashReport report = vm.report();
                for (PromptQuarantine other : vms) {
                    other.merge(report, now);
                }
            }
        }
        for (PromptQuarantine vm : vms) {
            for (String part : List.of("p0", "p1", "p2")) {
                assertWithMessage("verdict on " + part)
                        .that(vm.verdict(List.of(part)))
                        .isEqualTo(vms.get(0).verdict(List.of(part)));
            }
        }
    }

    @Test
    void aTrialIsDueOnlyAfterALongTimeAndOnlyTwice() {
        crash(3, List.of(CRASHING), NOW_MILLIS);
        assertThat(mQuarantine.partsDueForTrial(List.of(CRASHING), NOW_MILLIS + 60_000)).isEmpty();
        long now = NOW_MILLIS;
        for (int trial = 0; trial < PromptQuarantine.MAXIMUM_TRIALS; trial++) {
            now += PromptQuarantine.TRIAL_INTERVAL_MILLIS;
            assertThat(mQuarantine.partsDueForTrial(List.of(COMMON, CRASHING), now))
                    .containsExactly(CRASHING);
            mQuarantine.announceTrial(CRASHING, "vm/" + trial, now);
        }
        now += PromptQuarantine.TRIAL_INTERVAL_MILLIS;
        assertThat(mQuarantine.partsDueForTrial(List.of(CRASHING), now)).isEmpty();
    }

    private void crash(int engines, List<String> parts, long nowMillis) {
        for (int engine = 0; engine < engines; engine++) {
            mQuarantine.recordCrash("e" + engine, parts, nowMillis);
        }
    }
}
