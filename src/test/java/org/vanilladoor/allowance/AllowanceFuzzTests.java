package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.allowance.SimulatedAllowances.SimulatedVm;

/**
 * Random losses, delays and repetitions of messages, suspensions, restarts and partitions of VMs,
 * and changes of the lease holder, while all callers of a team send more than it is allowed. Guards
 * against use above the bound of any window.
 */
class AllowanceFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;
    private static final long STEP_MILLIS = SimulatedAllowances.STEP_MILLIS;
    private static final int VMS = 8;

    /** By then the first VMs may use their own shares. */
    private static final long WARM_UP_MILLIS = 17_000;

    @Property(tries = 1500, seed = "5101")
    void requestsStayWithinTheBound(
            @ForAll @Size(min = 20, max = 100)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        assertWithinBound(script, new Allowance(AllowanceUnit.REQUESTS, 200, 200, 200), 0, 1);
    }

    @Property(tries = 1500, seed = "5102")
    void requestsOfATeamWithALargeBurstStayWithinTheBound(
            @ForAll @Size(min = 20, max = 100)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        assertWithinBound(script, new Allowance(AllowanceUnit.REQUESTS, 50, 500, 200), 0, 1);
    }

    @Property(tries = 1500, seed = "5103")
    void requestsOfATeamWithASmallAllowanceStayWithinTheBound(
            @ForAll @Size(min = 20, max = 100)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        assertWithinBound(script, new Allowance(AllowanceUnit.REQUESTS, 6, 3, 200), 0, 1);
    }

    @Property(tries = 1500, seed = "5104")
    void tokensOfRequestsLargerThanTheBurstStayWithinTheBound(
            @ForAll @Size(min = 20, max = 100)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        assertWithinBound(
                script, new Allowance(AllowanceUnit.TOKENS, 2_000, 1_000, 200), 0, 50, 700, 2_600);
    }

    @Property(tries = 1500, seed = "5105")
    void tokensOfASmallTeamOfTheDispatchDeploymentStayWithinTheBound(
            @ForAll @Size(min = 20, max = 100)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        assertWithinBound(
                script,
                new Allowance(AllowanceUnit.TOKENS, 29_000, 29_000, 200),
                120_000,
                292,
                9_190,
                39_000);
    }

    private static void assertWithinBound(
            List<Integer> script, Allowance allowance, double slack, double... costs) {
        SimulatedAllowances fleet =
                new SimulatedAllowances(
                        allowance,
                        new AllowanceTolerance(8_000, 0.1, slack),
                        VMS,
                        4 + script.get(0) % 3);
        demandOnAll(fleet, 0, allowance, costs);
        fleet.advance(WARM_UP_MILLIS);
        script.forEach(number -> perform(fleet, number, allowance, costs));
        fleet.advance(3_000);
        assertWithMessage("used part of the bound in %s", fleet.history())
                .that(fleet.use().highestPartOfBound())
                .isAtMost(1.0);
    }

    /** Decodes a random number into an action, a VM and its detail, and performs it. */
    private static void perform(
            SimulatedAllowances fleet, int number, Allowance allowance, double... costs) {
        SimulatedVm vm = fleet.vm(number / 32 % VMS);
        int detail = number / 32 / VMS;
        switch (number % 32) {
            case 0, 1, 2, 3 -> fleet.advance(100 + millis(detail, 40));
            case 16, 17, 18 -> fleet.advance(500 + millis(detail, 150));
            case 19, 20 -> fleet.advance(1_000 + millis(detail, 500));
            case 21, 22, 23 -> pauseAll(fleet, 500 + millis(detail, 300));
            case 24, 25, 26 -> demandOnAll(fleet, detail, allowance, costs);
            case 27 -> heal(fleet);
            case 4, 5 -> demand(vm, detail, allowance, costs);
            case 6 -> vm.setDelays(millis(1 + detail % 3, 4), millis(1 + detail / 3 % 3, 4));
            case 7 -> vm.setDelays(millis(detail, 300), millis(detail / 300, 200));
            case 8 -> vm.setLosses(detail % 2 == 0, detail % 3 == 0, detail % 5 == 0);
            case 9 -> vm.setLosses(false, false, detail % 2 == 0);
            case 10 -> vm.suspend(millis(5 + detail, 900));
            case 11 -> restart(vm, detail);
            case 12 -> fleet.takeOver(vm, millis(detail, 100), 1 + millis(detail / 100, 400));
            case 13 -> partition(fleet, detail);
            case 14 -> vm.setClockRatePerThousand(995 + detail % 11);
            default -> vm.setNotRun(detail % 3 == 0 ? detail % 90 : 0);
        }
    }

    /** Sets a demand between nothing and many times the allowance. */
    private static void demand(SimulatedVm vm, int detail, Allowance allowance, double... costs) {
        double cost = costs[detail % costs.length];
        double perStep = allowance.ratePerSecond() * STEP_MILLIS / 1_000 / cost;
        int requests = (int) Math.min(40, Math.ceil(perStep * (detail / 3 % 4)));
        double[] all = new double[requests];
        for (int i = 0; i < requests; i++) {
            all[i] = costs[(detail + i) % costs.length];
        }
        vm.setDemand(all);
    }

    private static void demandOnAll(
            SimulatedAllowances fleet, int detail, Allowance allowance, double... costs) {
        for (int i = 0; i < VMS; i++) {
            demand(fleet.vm(i), detail + i, allowance, costs);
        }
    }

    /** Lets the buckets fill. */
    private static void pauseAll(SimulatedAllowances fleet, long millis) {
        for (int i = 0; i < VMS; i++) {
            fleet.vm(i).setDemand();
        }
        fleet.advance(millis);
    }

    /** Ends all faults. */
    private static void heal(SimulatedAllowances fleet) {
        for (int i = 0; i < VMS; i++) {
            fleet.vm(i).setLosses(false, false, false);
            fleet.vm(i).setDelays(STEP_MILLIS, STEP_MILLIS);
            fleet.vm(i).setNotRun(0);
        }
    }

    private static void restart(SimulatedVm vm, int detail) {
        if (detail % 2 == 0) {
            vm.kill();
        }
        if (detail % 3 > 0) {
            vm.start();
        }
    }

    /** Cuts some VMs off from the holder, or ends that. */
    private static void partition(SimulatedAllowances fleet, int detail) {
        for (int i = 0; i < VMS; i++) {
            boolean isCut = (detail >> i & 1) == 1;
            boolean isOneWay = (detail >> VMS & 1) == 1;
            fleet.vm(i).setLosses(isCut && !isOneWay, isCut, false);
        }
    }

    private static long millis(int detail, int steps) {
        return STEP_MILLIS * (detail % steps);
    }
}
