package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests buckets and the division of a bound. */
class BucketTests {
    private static final double CAPACITY = 100;
    private static final AllowanceBudget BUDGET = new AllowanceBudget(100, CAPACITY, 0, 0);

    /** Guards against a returned unit and the fill since its grant being used both. */
    @Test
    void returnedUnitsMakeNoRoomThatTheBucketHasNotHad() {
        TeamBucket bucket = new TeamBucket(CAPACITY, 0, 0);
        bucket.grant(50, 50);
        bucket.fill(BUDGET, CAPACITY, 0, 0.5, 500);
        bucket.grant(30, 30);
        bucket.putBack(50, CAPACITY);
        assertThat(bucket.shortfall(100, CAPACITY, 0)).isEqualTo(30);
    }

    /** Guards against returned units being lost although there was room all the time. */
    @Test
    void returnedUnitsAreGrantedAgain() {
        TeamBucket bucket = new TeamBucket(0, 0, 0);
        bucket.fill(BUDGET, CAPACITY, 0, 0.5, 500);
        bucket.grant(50, 50);
        bucket.fill(BUDGET, CAPACITY, 0, 0.5, 1_000);
        bucket.putBack(40, CAPACITY);
        assertThat(bucket.shortfall(40, CAPACITY, 0)).isEqualTo(0);
    }

    /** Guards against use beyond capacity and fill by requests larger than the bucket. */
    @Test
    void aRequestLargerThanTheBucketIsPaidForByWhatFlowedOver() {
        TokenBucket bucket = new TokenBucket(CAPACITY);
        assertThat(bucket.shortfall(150, CAPACITY, 0)).isEqualTo(50);
        bucket.fill(50, CAPACITY, 1_000);
        assertThat(bucket.shortfall(150, CAPACITY, 0)).isEqualTo(0);
        bucket.take(150);
        assertThat(bucket.shortfall(1, CAPACITY, 0)).isEqualTo(51);
    }

    /** Guards against parts that add up to more than the bound. */
    @ParameterizedTest
    @CsvSource({
        "100, 100, 0.1, 0",
        "100, 0, 0.1, 0",
        "100, 1000, 0.1, 0",
        "100, 100, 0, 0",
        "100, 0, 0, 0",
        "29000, 29000, 0.1, 120000",
    })
    void thePartsOfABoundAddUpToAtMostTheBound(
            double rate, double burst, double excess, double slack) {
        AllowanceTolerance tolerance = new AllowanceTolerance(8_000, excess, slack);
        Allowance allowance = new Allowance(AllowanceUnit.TOKENS, rate, burst, 200);
        AllowanceBudget budget = AllowanceBudget.of(allowance, tolerance);
        double sum =
                budget.fillPerSecond() * 8.7
                        + budget.capacity()
                        + 3 * budget.start()
                        + budget.oversize();
        assertWithMessage("%s", budget).that(sum).isAtMost(tolerance.bound(allowance) * (1 + 1e-9));
    }
}
