package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.allowance.SimulatedAllowances.SimulatedVm;

/** One fault each, while a team that has saved up its whole burst sends more than it is allowed. */
class AllowanceFaultTests {
    private static final int VMS = 8;
    private static final long PAUSE_MILLIS = 10_000;
    private static final Allowance ALLOWANCE = new Allowance(AllowanceUnit.REQUESTS, 200, 200, 200);
    private final SimulatedAllowances mFleet =
            new SimulatedAllowances(ALLOWANCE, AllowanceTolerance.standard(), VMS, VMS);

    /** Guards against VMs that use their shares while the holder still counts them. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void vmsThatAreCutOffUseNoShareTwice(int cutOff) {
        beginToSend();
        mFleet.advance(1_000);
        List<SimulatedVm> others = mFleet.vms().subList(VMS - cutOff, VMS);
        others.forEach(vm -> vm.setLosses(true, true, false));
        mFleet.advance(8_000);
        others.forEach(vm -> vm.setLosses(false, false, false));
        mFleet.advance(8_000);
        assertWithinBound();
    }

    /** Guards against shares that are used twice for a short time at each of many losses. */
    @ParameterizedTest
    @ValueSource(ints = {700, 1_000, 1_500, 2_500})
    void vmsThatAreCutOffAgainAndAgainUseNoShareTwice(int cutOffMillis) {
        beginToSend();
        List<SimulatedVm> others = mFleet.vms().subList(1, VMS);
        for (int i = 0; i < 15; i++) {
            others.forEach(vm -> vm.setLosses(true, true, false));
            mFleet.advance(cutOffMillis);
            others.forEach(vm -> vm.setLosses(false, false, false));
            mFleet.advance(300);
        }
        assertWithinBound();
    }

    /** Guards against a holder that counts VMs which get no replies and so use their own shares. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void vmsWhoseRepliesAreLostUseNoShareTwice(int cutOff) {
        beginToSend();
        mFleet.advance(1_000);
        mFleet.vms().subList(VMS - cutOff, VMS).forEach(vm -> vm.setLosses(false, true, false));
        mFleet.advance(16_000);
        assertWithinBound();
    }

    /** Guards against two holders that both grant from the shares of all VMs. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1_000, 4_000})
    void twoHoldersGrantNoShareTwice(int spreadMillis) {
        beginToSend();
        mFleet.advance(500);
        mFleet.takeOver(mFleet.vm(5), 1_000, spreadMillis);
        mFleet.advance(3_000);
        mFleet.takeOver(mFleet.vm(6), 1_000, spreadMillis);
        mFleet.advance(12_000);
        assertWithinBound();
    }

    /** Guards against a team that gets nothing while there is no holder, and after that. */
    @Test
    void aTeamIsServedFromOwnSharesUntilThereIsAnotherHolder() {
        beginToSend();
        mFleet.advance(12_000);
        mFleet.vm(0).kill();
        mFleet.advance(2_100);
        int fallen = mFleet.use().run();
        mFleet.advance(2_000);
        int alone = mFleet.use().run() - fallen;
        assertWithMessage("run in 2 s without a holder").that(alone).isGreaterThan(250);
        mFleet.advance(8_000);
        int before = mFleet.use().run();
        mFleet.advance(4_000);
        assertWithMessage("run in 4 s with another holder")
                .that(mFleet.use().run() - before)
                .isGreaterThan(600);
        assertWithinBound();
    }

    /** Guards against a lowered limit that VMs or the holder go on ignoring. */
    @Test
    void aLoweredLimitIsBinding() {
        beginToSend();
        mFleet.advance(10_000);
        mFleet.setAllowance(new Allowance(AllowanceUnit.REQUESTS, 50, 50, 200));
        mFleet.advance(20_000);
        assertWithinBound();
        int before = mFleet.use().run();
        mFleet.setAllowance(ALLOWANCE);
        mFleet.advance(8_000);
        assertWithMessage("run in 8 s after the limit was raised")
                .that(mFleet.use().run() - before)
                .isGreaterThan(1_000);
        assertWithinBound();
    }

    private void beginToSend() {
        mFleet.advance(PAUSE_MILLIS + PAUSE_MILLIS);
        mFleet.vms().forEach(vm -> vm.setDemand(1, 1, 1, 1));
    }

    private void assertWithinBound() {
        assertWithMessage("used part of the bound in %s", mFleet.history())
                .that(mFleet.use().highestPartOfBound())
                .isAtMost(1.0);
        assertThat(mFleet.use().run()).isGreaterThan(1_000);
    }
}
