package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how VMs that see the same late loads spread their choices. */
class BalancedChoiceTests {
    private static final int DRAWS = 20_000;
    private final SplittableRandom mRandom = new SplittableRandom(11);

    /** Guards against all VMs choosing the endpoint that looks idle. */
    @Test
    void muchWorkIsSpreadSoThatAllEndpointsWouldEndAtTheSameTime() {
        int[] chosen = choose(new double[] {10, 30, 20}, new double[] {1, 1, 1}, 40);
        // 120 units of work fill all three up to 60.
        assertThat(share(chosen, 0)).isWithin(0.02).of(50 / 120.0);
        assertThat(share(chosen, 1)).isWithin(0.02).of(30 / 120.0);
        assertThat(share(chosen, 2)).isWithin(0.02).of(40 / 120.0);
    }

    @Test
    void aFastEndpointGetsMoreWork() {
        int[] chosen = choose(new double[] {10, 10}, new double[] {3, 1}, 50);
        assertThat(share(chosen, 0)).isWithin(0.02).of(0.75);
    }

    /** Guards against slow endpoints being used while a fast one is idle. */
    @Test
    void littleWorkGoesToTheEndpointThatEndsFirst() {
        int[] chosen = choose(new double[] {90, 20, 60}, new double[] {1, 1, 1}, 5);
        assertThat(chosen).isEqualTo(new int[] {0, DRAWS, 0});
    }

    @Test
    void anEndpointThatMustNotBeDrawnIsNot() {
        int[] chosen =
                choose(new double[] {Double.POSITIVE_INFINITY, 500}, new double[] {9, 1}, 100);
        assertThat(chosen[0]).isEqualTo(0);
    }

    private int[] choose(double[] endMillis, double[] capacities, double spreadMillis) {
        int[] chosen = new int[endMillis.length];
        for (int draw = 0; draw < DRAWS; draw++) {
            chosen[BalancedChoice.choose(endMillis, capacities, spreadMillis, mRandom)]++;
        }
        return chosen;
    }

    private static double share(int[] chosen, int index) {
        return chosen[index] / (double) Arrays.stream(chosen).sum();
    }
}
