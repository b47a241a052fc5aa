package org.vanilladoor.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.vanilladoor.engine.EngineRole;

/** Compares the choice by expected end with the earlier one, on the same simulated endpoints. */
class CostReplayTests {
    private static final double MILLIS = 20_000;
    private static final int SEEDS = 4;

    /** Guards against a choice that is worse than the earlier one when engines are busy. */
    @Test
    void moreRequestsAreOnTimeThanWithTheEarlierChoice() {
        double[] earlier = meanFigures(false);
        double[] byCost = meanFigures(true);
        assertWithMessage("long prompts").that(byCost[0]).isGreaterThan(earlier[0]);
        assertWithMessage("plain requests").that(byCost[1]).isGreaterThan(earlier[1]);
        assertWithMessage("chats").that(byCost[2]).isGreaterThan(0.99);
        assertWithMessage("busiest prefill engine").that(byCost[3]).isLessThan(earlier[3]);
    }

    private static double[] meanFigures(boolean statesFactor) {
        double[] sums = new double[4];
        for (long seed = 1; seed <= SEEDS; seed++) {
            CostReplay replay = replay(seed, statesFactor);
            sums[0] += replay.longPrompts().onTimePart() / SEEDS;
            sums[1] += replay.plainRequests().onTimePart() / SEEDS;
            sums[2] += replay.chats().onTimePart() / SEEDS;
            sums[3] += replay.prefillImbalance() / SEEDS;
        }
        return sums;
    }

    private static CostReplay replay(long seed, boolean statesFactor) {
        CostReplay replay = new CostReplay(seed, statesFactor);
        replay.addServers("plain", 3, 6, EngineRole.MIXED);
        replay.addServers("model", 18, 16, EngineRole.PREFILL);
        replay.addServers("model", 24, 16, EngineRole.DECODE);
        replay.run(MILLIS, 110, 250, 17);
        return replay;
    }
}
