package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;

/** Tests what is learned of the work of requests and of the speed of endpoints. */
class CostModelTests {
    private static final String SERVICE = Endpoints.SERVICE;
    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final ServiceCosts mCosts = new ServiceCosts();
    private long mNowMillis = 10_000;

    /** Guards against a few very long requests that change the estimate for all others. */
    @Test
    void aHeavyTailHardlyMovesTheEstimate() {
        RobustMean mean = RobustMean.startingAt(30);
        for (int index = 0; index < 400; index++) {
            mean.observe(index % 20 == 0 ? 100_000 : 50);
        }
        assertThat(mean.value()).isGreaterThan(45.0);
        assertThat(mean.value()).isLessThan(65.0);
    }

    @Test
    void nonsensicalObservationsAreIgnored() {
        RobustMean mean = RobustMean.startingAt(30);
        for (double value : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY}) {
            mean.observe(value);
        }
        assertThat(mean.count()).isEqualTo(0);
        assertThat(mean.value()).isWithin(1e-9).of(30);
    }

    @Test
    void aHintThatIsOffByTheSameFactorEachTimeIsCorrected() {
        OutputLength length = new OutputLength();
        for (int index = 0; index < 300; index++) {
            int tokens = 10 + mRandom.nextInt(190);
            length.observe(prompt(100, 1_000, OptionalDouble.of(tokens / 2.0)), tokens);
        }
        assertThat(length.expect(prompt(100, 1_000, OptionalDouble.of(50)))).isWithin(15).of(100);
    }

    /** Guards against trust in hints that say nothing. */
    @Test
    void hintsThatAreFalseCountForLittle() {
        OutputLength length = new OutputLength();
        for (int index = 0; index < 300; index++) {
            double hint = Math.pow(10, 5 * mRandom.nextDouble());
            length.observe(prompt(100, 100, OptionalDouble.of(hint)), 70);
        }
        for (double hint : new double[] {1, 100, 1_000_000}) {
            assertThat(length.expect(prompt(100, 100, OptionalDouble.of(hint))))
                    .isWithin(15)
                    .of(70);
        }
    }

    @Test
    void anImpossibleHintIsNoHint() {
        for (double hint : new double[] {-3, 0, Double.NaN, 1e300, Double.POSITIVE_INFINITY}) {
            assertThat(prompt(100, 72, OptionalDouble.of(hint)).lengthHint().isPresent()).isFalse();
        }
    }

    /** Guards against equal work for endpoints of different speed. */
    @Test
    void aSlowEndpointIsRecognizedByItsResponseTimes() {
        List<Endpoint> endpoints = plainEndpoints(3);
        for (int index = 0; index < 60; index++) {
            call(endpoints.get(0), 40);
            call(endpoints.get(1), 40);
            call(endpoints.get(2), 100);
        }
        assertThat(slowness(endpoints.get(0))).isWithin(0.15).of(1);
        assertThat(slowness(endpoints.get(2))).isWithin(0.4).of(2.5);
        assertThat(mCosts.duration("r").value()).isWithin(8).of(40);
    }

    /** Guards against the speed of an earlier process at the same name. */
    @Test
    void theSpeedOfAReplacedEndpointIsLearnedAnew() {
        List<Endpoint> endpoints = plainEndpoints(3);
        for (int index = 0; index < 60; index++) {
            call(endpoints.get(0), 40);
            call(endpoints.get(1), 40);
            call(endpoints.get(2), 200);
        }
        Endpoint replaced = Endpoints.startedAt(endpoints.get(2), 9_999);
        assertThat(slowness(endpoints.get(2))).isGreaterThan(2.0);
        assertThat(slowness(replaced)).isWithin(0.15).of(1);
    }

    /** Guards against decisions by a factor that changes many times a second. */
    @Test
    void aStatedFactorAppliesOnlyWhileItIsFresh() {
        Endpoint endpoint = plainEndpoints(1).get(0);
        for (int index = 0; index < 50; index++) {
            state(endpoint, 1);
        }
        state(endpoint, 2.5);
        assertThat(slowness(endpoint)).isGreaterThan(2.0);
        mNowMillis += 301;
        assertThat(slowness(endpoint)).isWithin(0.1).of(1);
    }

    /** Guards against calls that count as outstanding after their end, or twice. */
    @Test
    void ownOutstandingWorkReturnsToZero() {
        Endpoint endpoint = Endpoints.engine("e", "a", EngineRole.DECODE);
        RequestProfile request = prompt(2_000, 72, OptionalDouble.empty());
        List<CallCost> calls = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            calls.add(open(request, endpoint));
        }
        EndpointCost cost = mCosts.endpoint(endpoint);
        assertThat(cost.ownTokens()).isEqualTo(5 * 2_072);
        double promptMillis = cost.ownPromptMillis();
        calls.get(0).recordEvents(3, mNowMillis + 20);
        assertThat(cost.ownPromptMillis()).isWithin(1e-6).of(promptMillis * 4 / 5);
        calls.forEach(CallCost::end);
        calls.forEach(CallCost::end);
        assertThat(cost.ownCalls()).isEqualTo(0);
        assertThat(cost.ownTokens()).isEqualTo(0);
        assertThat(cost.ownPromptMillis()).isEqualTo(0.0);
        assertThat(cost.ownSlotMillis()).isEqualTo(0.0);
    }

    private void call(Endpoint endpoint, long tookMillis) {
        CallCost call = open(RequestProfile.plain(SERVICE, "r"), endpoint);
        mNowMillis += tookMillis;
        call.recordResponse(mNowMillis);
        call.end();
    }

    private CallCost open(RequestProfile request, Endpoint endpoint) {
        return CallCost.open(
                mCosts,
                request,
                WorkPhase.RUN,
                true,
                CostAssessment.option(
                        mCosts, request, WorkPhase.RUN, endpoint, false, false, true, mNowMillis),
                mNowMillis);
    }

    private void state(Endpoint endpoint, double factor) {
        mCosts.recordLoad(endpoint, new LoadSample(1, 0, 6, OptionalDouble.of(factor)), mNowMillis);
    }

    private double slowness(Endpoint endpoint) {
        mNowMillis += 100;
        mCosts.updateSummary(mNowMillis);
        return mCosts.endpoint(endpoint).slowness(mCosts.medianSlowness(), mNowMillis);
    }

    private static List<Endpoint> plainEndpoints(int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            endpoints.add(Endpoints.engine("plain-" + index, "a", EngineRole.MIXED));
        }
        return endpoints;
    }

    private static RequestProfile prompt(long tokens, long maximum, OptionalDouble hint) {
        return new RequestProfile(SERVICE, "r", "", tokens, 0, maximum, hint, 0);
    }
}
