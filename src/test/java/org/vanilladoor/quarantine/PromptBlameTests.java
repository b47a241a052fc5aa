package org.vanilladoor.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which part of a prompt is blamed beside the one that crashes engines. */
class PromptBlameTests {
    private static final long NOW_MILLIS = 1_000_000;
    private static final long QUIET_MILLIS = 60_000;
    private static final String CRASHING = "dead";
    private static final String FIRST = "c0";
    private final PromptQuarantine mQuarantine = PromptQuarantine.create();

    @Test
    void aCustomersFirstPartThatWasQuietIsNotQuarantinedWithTheCrashingPart() {
        mQuarantine.recordAnswer(List.of(FIRST), NOW_MILLIS);
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS + QUIET_MILLIS);
        assertThat(mQuarantine.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aQuietPartIsKnownAfterManyOthersWereAnswered() {
        for (int number = 0; number < 10; number++) {
            mQuarantine.recordAnswer(List.of(FIRST), NOW_MILLIS);
        }
        for (int number = 0; number < 20_000; number++) {
            mQuarantine.recordAnswer(List.of("other" + number), NOW_MILLIS);
        }
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS + QUIET_MILLIS);
        assertThat(mQuarantine.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aVmThatNeverAnsweredTheFirstPartLearnsThatOthersDid() {
        PromptQuarantine other = PromptQuarantine.create();
        other.recordAnswer(List.of(FIRST), NOW_MILLIS);
        long nowMillis = NOW_MILLIS + QUIET_MILLIS;
        crash(mQuarantine, List.of(FIRST, CRASHING), nowMillis);
        assertThat(mQuarantine.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.QUARANTINED);
        long revision = other.revision();
        other.merge(mQuarantine.report(), nowMillis);
        assertThat(other.revision()).isGreaterThan(revision);
        mQuarantine.merge(other.report(), nowMillis);
        assertThat(mQuarantine.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(other.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(other.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aPartThatWasAnsweredBeforeIsBlamedWhenNoOtherPartIsInAllCrashes() {
        mQuarantine.recordAnswer(List.of(CRASHING), NOW_MILLIS);
        for (int engine = 0; engine < 3; engine++) {
            mQuarantine.recordCrash(
                    "e" + engine, List.of("d" + engine, CRASHING), NOW_MILLIS + QUIET_MILLIS);
        }
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aCrashingPartBehindThirtyThreeOthersIsFound() {
        for (int engine = 0; engine < 3; engine++) {
            List<String> parts = new ArrayList<>();
            for (int place = 0; place < 33; place++) {
                parts.add("p" + engine + "/" + place);
            }
            parts.add(CRASHING);
            mQuarantine.recordCrash("e" + engine, parts, NOW_MILLIS);
        }
        List<String> parts = new ArrayList<>();
        for (int place = 0; place < 33; place++) {
            parts.add("q" + place);
        }
        assertThat(mQuarantine.verdict(parts)).isEqualTo(PromptVerdict.SOUND);
        parts.add(CRASHING);
        assertThat(mQuarantine.verdict(parts)).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aPartInDoubtIsTestedAtMostThreeTimesWithinAMinuteAndFreeAfterAnAnswer() {
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS);
        assertThat(mQuarantine.partDueForTrial(List.of(FIRST), NOW_MILLIS + 1_000)).isEmpty();
        assertThat(mQuarantine.partDueForTrial(List.of(FIRST, CRASHING), NOW_MILLIS + 60_000))
                .isEmpty();
        int trials = 0;
        for (long millis = NOW_MILLIS; millis <= NOW_MILLIS + 600_000; millis += 1_000) {
            if (mQuarantine.partDueForTrial(List.of(FIRST), millis).isPresent()) {
                trials++;
                assertThat(millis).isAtMost(NOW_MILLIS + 60_000);
                mQuarantine.announceTrial(FIRST, "vm/" + trials, millis);
            }
        }
        assertThat(trials).isEqualTo(3);
        mQuarantine.recordAnswer(List.of(FIRST), NOW_MILLIS + 600_000);
        assertThat(mQuarantine.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void theFirstPartStaysFreeWhenTheCrashingPartIsAnsweredAgain() {
        mQuarantine.recordAnswer(List.of(FIRST), NOW_MILLIS);
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS + QUIET_MILLIS);
        mQuarantine.recordAnswer(List.of(CRASHING), NOW_MILLIS + 2 * QUIET_MILLIS);
        assertThat(mQuarantine.verdict(List.of(FIRST, CRASHING))).isEqualTo(PromptVerdict.SOUND);
    }

    private static void crash(PromptQuarantine quarantine, List<String> parts, long nowMillis) {
        for (int engine = 0; engine < 3; engine++) {
            quarantine.recordCrash("e" + engine, parts, nowMillis);
        }
    }
}
