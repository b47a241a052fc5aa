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
        assertThat(mQuarantine.partsDueForTrial(List.of(FIRST), NOW_MILLIS + 1_000)).isEmpty();
        assertThat(mQuarantine.partsDueForTrial(List.of(FIRST, CRASHING), NOW_MILLIS + 60_000))
                .isEmpty();
        int trials = 0;
        for (long millis = NOW_MILLIS; millis <= NOW_MILLIS + 600_000; millis += 1_000) {
            if (!mQuarantine.partsDueForTrial(List.of(FIRST), millis).isEmpty()) {
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

    /** A trial of one part at a time would blame the others for what the first one has crashed. */
    @Test
    void allPartsThatACustomerSharesAreTestedTogether() {
        List<String> shared = List.of(FIRST, "c1", "c2");
        crash(mQuarantine, List.of(FIRST, "c1", "c2", CRASHING), NOW_MILLIS);
        assertThat(mQuarantine.isInDoubt(shared)).isTrue();
        assertThat(mQuarantine.partsDueForTrial(shared, NOW_MILLIS + 2_000))
                .containsExactlyElementsIn(shared);
        mQuarantine.recordAnswer(shared, NOW_MILLIS + 2_500);
        assertThat(mQuarantine.verdict(shared)).isEqualTo(PromptVerdict.SOUND);
        assertThat(mQuarantine.verdict(List.of(CRASHING))).isEqualTo(PromptVerdict.QUARANTINED);
        assertThat(mQuarantine.isInDoubt(List.of(CRASHING))).isFalse();
    }

    @Test
    void aPartThatCrashesItsTrialIsNoLongerInDoubt() {
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS);
        mQuarantine.announceTrial(CRASHING, "vm/1", NOW_MILLIS + 2_000);
        mQuarantine.recordCrash("e3", List.of(CRASHING), NOW_MILLIS + 2_100);
        assertThat(mQuarantine.isInDoubt(List.of(CRASHING))).isFalse();
        assertThat(mQuarantine.partsDueForTrial(List.of(CRASHING), NOW_MILLIS + 60_000)).isEmpty();
        assertThat(mQuarantine.isInDoubt(List.of(FIRST))).isTrue();
    }

    /** An engine may fail for another reason while a sound request is about to be answered. */
    @Test
    void aPartStaysInDoubtAfterACrashThatNoOtherPartExplains() {
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS);
        mQuarantine.recordCrash("e3", List.of(FIRST), NOW_MILLIS + 100);
        assertThat(mQuarantine.partsDueForTrial(List.of(FIRST), NOW_MILLIS + 2_000))
                .containsExactly(FIRST);
    }

    @Test
    void aRestartedVmKnowsThatAPartWasAnsweredInItsTrial() {
        crash(mQuarantine, List.of(FIRST, CRASHING), NOW_MILLIS);
        mQuarantine.recordAnswer(List.of(FIRST), NOW_MILLIS + 2_000);
        PromptQuarantine restarted = PromptQuarantine.create();
        restarted.merge(mQuarantine.report(), NOW_MILLIS + QUIET_MILLIS);
        for (int engine = 10; engine < 13; engine++) {
            restarted.recordCrash(
                    "e" + engine, List.of(FIRST, "dead-too"), NOW_MILLIS + 2 * QUIET_MILLIS);
        }
        assertThat(restarted.verdict(List.of(FIRST))).isEqualTo(PromptVerdict.SOUND);
        assertThat(restarted.verdict(List.of("dead-too"))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    private static void crash(PromptQuarantine quarantine, List<String> parts, long nowMillis) {
        for (int engine = 0; engine < 3; engine++) {
            quarantine.recordCrash("e" + engine, parts, nowMillis);
        }
    }
}
