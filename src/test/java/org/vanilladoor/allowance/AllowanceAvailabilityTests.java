package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A team whose requests stay within its allowance, while its callers move to other VMs each second.
 * Guards against refusals of such requests: fewer than 1 in 1,000 may be refused.
 */
class AllowanceAvailabilityTests {
    private static final long STEP_MILLIS = SimulatedAllowances.STEP_MILLIS;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long TEST_MILLIS = 120_000;
    private static final long MOVE_MILLIS = 1_000;

    /**
     * The allowance is 1.8 times the usual demand. With an allowance of 0.4 times the demand
     * callers send what an ideal bucket lets through, so that nothing is ever left over.
     */
    @ParameterizedTest
    @CsvSource({
        "4, REQUESTS, 200, 0, 1.8",
        "13, REQUESTS, 200, 0, 1.8",
        "101, REQUESTS, 20, 0, 1.8",
        "101, TOKENS, 29000, 120000, 1.8",
        "101, TOKENS, 1669746, 0, 1.8",
        "330, TOKENS, 1669746, 120000, 1.8",
        "13, REQUESTS, 200, 0, 1.2",
        "101, TOKENS, 1669746, 0, 1.2",
        "13, REQUESTS, 200, 0, 0.4",
        "101, REQUESTS, 200, 0, 0.4",
        "101, TOKENS, 29000, 120000, 0.4",
        "101, TOKENS, 1669746, 120000, 0.4",
    })
    void aTeamWithinItsAllowanceIsSeldomRefused(
            int vms, AllowanceUnit unit, double rate, double slack, double allowancePerDemand) {
        Allowance allowance = new Allowance(unit, rate, rate, 200);
        SimulatedAllowances fleet = fleet(allowance, slack, vms);
        fleet.advance(WARM_UP_MILLIS);
        int sent = send(fleet, allowance, rate / allowancePerDemand);
        assertRarelyRefused(fleet, sent);
    }

    /** Guards against a fleet that refuses everything while its first holder knows no VM. */
    @Test
    void aTeamIsServedFromTheStartOfTheFleetOn() {
        Allowance allowance = new Allowance(AllowanceUnit.REQUESTS, 200, 200, 200);
        SimulatedAllowances fleet = fleet(allowance, 0, 13);
        assertRarelyRefused(fleet, send(fleet, allowance, 200 / 1.8));
    }

    /** Guards against requests larger than the burst that never find a full bucket. */
    @Test
    void requestsLargerThanTheBurstAreServedBesideSmallOnes() {
        Allowance allowance = new Allowance(AllowanceUnit.TOKENS, 29_000, 29_000, 200);
        SimulatedAllowances fleet = fleet(allowance, 120_000, 101);
        fleet.advance(WARM_UP_MILLIS);
        int large = 30;
        for (int i = 0; i < large; i++) {
            for (int small = 0; small < 40; small++) {
                fleet.vm(i + small).sendRequest(292);
                fleet.advance(100);
            }
            fleet.vm(i).sendRequest(39_000);
        }
        fleet.advance(1_000);
        assertRarelyRefused(fleet, large * 41);
    }

    private static SimulatedAllowances fleet(Allowance allowance, double slack, int vms) {
        AllowanceTolerance tolerance = new AllowanceTolerance(8_000, 0.1, slack);
        return new SimulatedAllowances(allowance, tolerance, vms, vms);
    }

    private static void assertRarelyRefused(SimulatedAllowances fleet, int sent) {
        assertWithMessage("run").that(fleet.use().run()).isAtLeast(sent * 9 / 10);
        assertWithMessage("refused of %s", sent)
                .that((double) fleet.use().refused())
                .isLessThan(sent / 1_000.0);
    }

    /** Sends requests that an ideal bucket lets through and returns how many they were. */
    private static int send(SimulatedAllowances fleet, Allowance allowance, double perSecond) {
        SplittableRandom random = new SplittableRandom(5201);
        TokenBucket ideal = new TokenBucket(allowance.burst());
        double burst = allowance.burst();
        int vms = fleet.vms().size();
        int sent = 0;
        int first = 0;
        int some = vms;
        for (long millis = 0; millis < TEST_MILLIS; millis += STEP_MILLIS) {
            if (millis % MOVE_MILLIS == 0) {
                first = random.nextInt(vms);
                some = 1 + random.nextInt(random.nextBoolean() ? vms : 3);
            }
            ideal.fill(allowance.ratePerSecond() * STEP_MILLIS / 1_000, burst, 0);
            for (double cost : arrivals(allowance.unit(), perSecond, random)) {
                if (cost <= burst && ideal.shortfall(cost, burst, 0) == 0) {
                    ideal.take(cost);
                    sent++;
                    fleet.vm((first + random.nextInt(some)) % vms).sendRequest(cost);
                }
            }
            fleet.advance(STEP_MILLIS);
        }
        return sent;
    }

    /** Returns the costs of requests that arrive at random in one step. */
    private static List<Double> arrivals(
            AllowanceUnit unit, double perSecond, SplittableRandom random) {
        List<Double> costs = new ArrayList<>();
        double expected = perSecond * STEP_MILLIS / 1_000 / meanCost(unit);
        double passed = -Math.log(1 - random.nextDouble());
        while (passed < expected) {
            costs.add(cost(unit, random));
            passed -= Math.log(1 - random.nextDouble());
        }
        return costs;
    }

    private static double cost(AllowanceUnit unit, SplittableRandom random) {
        if (unit == AllowanceUnit.REQUESTS) {
            return 1;
        }
        double kind = random.nextDouble();
        if (kind < 0.3) {
            return 200;
        }
        double prompt = Math.min(38_700, -6_000 * Math.log(1 - random.nextDouble()));
        return kind < 0.4 ? 292 : 300 + prompt;
    }

    private static double meanCost(AllowanceUnit unit) {
        return unit == AllowanceUnit.REQUESTS ? 1 : 0.3 * 200 + 0.1 * 292 + 0.6 * 6_290;
    }
}
