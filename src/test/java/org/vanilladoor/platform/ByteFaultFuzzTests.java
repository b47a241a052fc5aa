package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.Tuple;
import org.vanilladoor.platform.ByteFault.Place;
import org.vanilladoor.platform.ByteFaultFuzz.Kind;
import org.vanilladoor.platform.ByteFaultFuzz.Outcome;
import org.vanilladoor.platform.ByteFaultFuzz.Reaction;
import org.vanilladoor.platform.ByteFaultFuzz.Step;
import org.vanilladoor.platform.FramedResponse.Framing;

/** Sequences of requests to endpoints that send faulty bytes on kept connections. */
class ByteFaultFuzzTests {
    private static final Arbitrary<ByteFault> BROKEN =
            Arbitraries.frequencyOf(
                    Tuple.of(
                            8,
                            Arbitraries.of(
                                    ByteFault.NONE,
                                    ByteFault.CUT_THEN_CLOSE,
                                    ByteFault.CUT_THEN_RESET,
                                    ByteFault.DELAYED_PIECES,
                                    ByteFault.ENDLESS_HEAD)),
                    // These last until the time limit.
                    Tuple.of(
                            1,
                            Arbitraries.of(
                                    ByteFault.CUT_THEN_SILENCE,
                                    ByteFault.HEAD_AND_BODY_SWAPPED,
                                    ByteFault.ENDLESS_BODY,
                                    ByteFault.ENDLESS_INTERIM_RESPONSES)));

    private static final Arbitrary<ByteFault> STRAY =
            Arbitraries.of(
                    ByteFault.NONE,
                    ByteFault.REPEAT_IN_THE_SAME_PACKET,
                    ByteFault.REPEAT_WHILE_IDLE,
                    ByteFault.REPEAT_BEFORE_THE_RESPONSE,
                    ByteFault.REPEAT_IN_PIECES_BEFORE_THE_RESPONSE,
                    ByteFault.REST_OF_EARLIER_BEFORE_THE_RESPONSE,
                    ByteFault.REST_OF_EARLIER_WHILE_IDLE,
                    ByteFault.MERGED_WITH_EARLIER,
                    ByteFault.CUT_IN_THE_HEAD_THEN_EARLIER,
                    ByteFault.NOISE_BEFORE_THE_RESPONSE,
                    ByteFault.NOISE_IN_THE_SAME_PACKET,
                    ByteFault.NOISE_WHILE_IDLE,
                    ByteFault.ENDLESS_NOISE_BEHIND_THE_RESPONSE);

    private static final Arbitrary<ByteFault> FRAMED =
            Arbitraries.of(ByteFault.NONE, ByteFault.INTERIM_RESPONSES);

    @Property(tries = 25, seed = "2801")
    void aBrokenResponseIsNeitherASuccessNorARefusal(@ForAll("brokenSteps") List<Step> steps)
            throws IOException {
        assertKeepsPromises(2, steps);
    }

    @Property(tries = 300, seed = "2802")
    void bytesOfNoRequestChangeNoResponse(@ForAll("straySteps") List<Step> steps)
            throws IOException {
        // The endpoint's connection is kept from each request to the next.
        assertKeepsPromises(1, steps);
    }

    @Property(tries = 60, seed = "2803")
    void aResponseIsReadAsItsHeadStates(@ForAll("framedSteps") List<Step> steps)
            throws IOException {
        assertKeepsPromises(2, steps);
    }

    @Property(tries = 60, seed = "2804")
    void aStreamHasOneEndWhateverItsEndpointsSend(@ForAll("streamSteps") List<Step> steps)
            throws IOException {
        assertKeepsPromises(2, steps);
    }

    @Property(tries = 150, seed = "2805")
    void aResponseWithAnInvalidHeaderIsNeitherASuccessNorARefusal(
            @ForAll("invalidHeaderSteps") List<Step> steps) throws IOException {
        assertKeepsPromises(1, steps);
    }

    private static void assertKeepsPromises(int endpointCount, List<Step> steps)
            throws IOException {
        assertWithMessage("%s", steps).that(ByteFaultFuzz.run(endpointCount, steps)).isEmpty();
    }

    @Provide
    static Arbitrary<List<Step>> brokenSteps() {
        return steps(
                List.of(Kind.ONCE, Kind.SAFE),
                outcomes(),
                List.of(Framing.LENGTH, Framing.CHUNKED),
                BROKEN);
    }

    @Provide
    static Arbitrary<List<Step>> straySteps() {
        return steps(
                List.of(Kind.ONCE, Kind.SAFE, Kind.HEAD),
                outcomes(),
                List.of(Framing.LENGTH, Framing.CHUNKED),
                STRAY);
    }

    @Provide
    static Arbitrary<List<Step>> framedSteps() {
        return steps(List.of(Kind.values()), outcomes(), List.of(Framing.values()), FRAMED);
    }

    @Provide
    static Arbitrary<List<Step>> streamSteps() {
        return steps(
                List.of(Kind.RESUME, Kind.CHAT),
                Arbitraries.frequencyOf(
                        Tuple.of(2, Arbitraries.just(Outcome.SUCCESS)), Tuple.of(1, outcomes())),
                List.of(Framing.CHUNKED, Framing.LENGTH),
                Arbitraries.frequencyOf(
                        Tuple.of(
                                3,
                                Arbitraries.of(
                                        ByteFault.NONE,
                                        ByteFault.CUT_THEN_CLOSE,
                                        ByteFault.CUT_THEN_RESET,
                                        ByteFault.REPEAT_BETWEEN_CHUNKS)),
                        Tuple.of(1, Arbitraries.of(ByteFault.CHOSEN_BY_SEEDS))));
    }

    @Provide
    static Arbitrary<List<Step>> invalidHeaderSteps() {
        return steps(
                List.of(Kind.values()),
                outcomes(),
                List.of(Framing.LENGTH, Framing.CHUNKED),
                Arbitraries.of(ByteFault.NONE, ByteFault.INVALID_BYTE_IN_A_HEADER));
    }

    private static Arbitrary<List<Step>> steps(
            List<Kind> kinds,
            Arbitrary<Outcome> firstOutcomes,
            List<Framing> framings,
            Arbitrary<ByteFault> faults) {
        return Combinators.combine(
                        Arbitraries.of(kinds),
                        reactions(firstOutcomes, framings, faults),
                        reactions(outcomes(), framings, faults))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(4);
    }

    private static Arbitrary<Reaction> reactions(
            Arbitrary<Outcome> outcomes, List<Framing> framings, Arbitrary<ByteFault> faults) {
        Arbitrary<Place> places =
                Combinators.combine(number(Place.PARTS), number(Place.PARTS)).as(Place::new);
        return Combinators.combine(outcomes, Arbitraries.of(framings), faults, places)
                .as(Reaction::new);
    }

    private static Arbitrary<Outcome> outcomes() {
        return Arbitraries.frequency(
                Tuple.of(3, Outcome.SUCCESS),
                Tuple.of(3, Outcome.FAILURE),
                Tuple.of(2, Outcome.REFUSAL),
                Tuple.of(1, Outcome.MISDIRECTED),
                Tuple.of(1, Outcome.NO_CONTENT),
                Tuple.of(1, Outcome.NOT_MODIFIED));
    }

    private static Arbitrary<Integer> number(int bound) {
        return Arbitraries.integers()
                .between(0, bound - 1)
                .withDistribution(RandomDistribution.uniform());
    }
}
