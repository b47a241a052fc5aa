package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests that a stream that several runs supply neither repeats nor leaves out an event. */
class EventSequenceTests {
    private static final int EVENTS = 12;

    @Test
    void theFirstRunMayBeginAnywhereAfterTheEventThatTheCallerHas() {
        assertThat(EventSequence.after(Optional.empty()).tryAccept("40")).isTrue();
        assertThat(EventSequence.after(Optional.of("12")).tryAccept("14")).isTrue();
        assertThat(EventSequence.after(Optional.of("12")).tryAccept("12")).isFalse();
        assertThat(EventSequence.after(Optional.of("12")).tryAccept("3")).isFalse();
    }

    @Test
    void aFurtherRunMayLeaveOutNumbersOnlyIfTheFirstDid() {
        assertThat(resumed("1", "2").tryAccept("4")).isFalse();
        assertThat(resumed("1", "2").tryAccept("3")).isTrue();
        assertThat(resumed("1", "3").tryAccept("6")).isTrue();
        assertThat(resumed("1", "3").tryAccept("3")).isFalse();
    }

    @Test
    void identifiersThatAreNoNumbersMustNotBeRepeated() {
        assertThat(resumed("a").tryAccept("a")).isFalse();
        assertThat(resumed("a").tryAccept("b")).isTrue();
        assertThat(resumed("9".repeat(19)).tryAccept("1")).isTrue();
    }

    @Test
    void noRunGoesOnAfterAnEventWithoutIdentifier() {
        EventSequence sequence = resumed("1");
        sequence.acceptUnidentified();
        assertThat(sequence.isResumable()).isFalse();
        assertThat(sequence.tryAccept("2")).isTrue();
        assertThat(sequence.isResumable()).isTrue();
    }

    /** Each number of the list is the length of a run; every third run ignores where to begin. */
    @Property(tries = 500, seed = "2801")
    void runsThatBeginAtTheWrongEventNeitherRepeatNorLeaveOutAny(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(max = 9) Integer> lengths) {
        EventSequence sequence = EventSequence.after(Optional.empty());
        List<Integer> accepted = new ArrayList<>();
        for (int run = 0; run < lengths.size(); run++) {
            int first = run % 3 == 2 ? lengths.get(run) : accepted.size() + 1;
            sequence.startRun();
            for (int event = first; event <= EVENTS && event < first + lengths.get(run); event++) {
                if (!sequence.tryAccept(Integer.toString(event))) {
                    break;
                }
                accepted.add(event);
            }
        }
        for (int index = 1; index < accepted.size(); index++) {
            assertThat(accepted.get(index)).isEqualTo(accepted.get(index - 1) + 1);
        }
    }

    private static EventSequence resumed(String... identifiers) {
        EventSequence sequence = EventSequence.after(Optional.empty());
        for (String identifier : identifiers) {
            assertThat(sequence.tryAccept(identifier)).isTrue();
        }
        sequence.startRun();
        return sequence;
    }
}
