package org.vanilladoor.exchange;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceAccount;
import org.vanilladoor.allowance.AllowanceLedger;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.gateway.AllowanceControl;
import org.vanilladoor.gateway.GatewayMetrics;

/** Requests that wait for an advance: who is admitted, who is refused, and when. */
class AdmissionQueueTests {
    private static final Allowance ALLOWANCE = new Allowance(AllowanceUnit.REQUESTS, 100, 100, 0);
    private static final String TEAM = "t";
    private final AllowanceAccount mAccount =
            AllowanceAccount.create("vm", "vm.1", AllowanceTolerance.standard());
    private final AllowanceLedger mLedger =
            AllowanceLedger.create(AllowanceTolerance.standard(), 1);
    private final AdmissionQueue mQueue =
            new AdmissionQueue(
                    mAccount, new ExchangeMetrics(GatewayMetrics.create(new MetricRegistry())));
    private final List<String> mOutcomes = new ArrayList<>();
    private long mNowMillis = 10_000;

    @Test
    void aRequestWaitsForAnAdvanceAndIsAdmittedWithIt() {
        admit("a");
        assertThat(mOutcomes).isEmpty();
        assertThat(mQueue.isWaiting()).isTrue();
        exchange();
        assertThat(mOutcomes).containsExactly("a admitted");
        assertThat(mQueue.isWaiting()).isFalse();
    }

    /** Without an answer, a caller must not wait for longer than it takes to try elsewhere. */
    @Test
    void aRequestWithoutAnAdvanceIsRefusedAfterTheLongestWait() {
        admit("a");
        mNowMillis += AdmissionQueue.MAXIMUM_WAIT_MILLIS - 1;
        mQueue.endLongWaits(mNowMillis);
        assertThat(mOutcomes).isEmpty();
        mNowMillis++;
        mQueue.endLongWaits(mNowMillis);
        assertThat(mOutcomes).containsExactly("a refused");
        assertThat(mQueue.isWaiting()).isFalse();
    }

    /** A line of requests that can't be admitted would only make all of them late. */
    @Test
    void onlyTheFirstRequestWaitsWhileTheHolderHasNoRoom() {
        int most = 0;
        for (int i = 0; i < 200 && most == 0; i++) {
            admit("a");
            exchange();
            mNowMillis += 1;
            most = (int) mOutcomes.stream().filter(each -> each.equals("a refused")).count();
            assertThat(mOutcomes.size()).isAtLeast(i);
        }
        mOutcomes.clear();
        for (int i = 0; i < 5; i++) {
            admit("b");
        }
        exchange();
        assertThat(mOutcomes.stream().filter(each -> each.equals("b refused")).count())
                .isAtLeast(3);
    }

    @Test
    void aCancelledWaitGetsNoOutcomeAndTakesNothing() {
        admit("a").cancel();
        exchange();
        mNowMillis += 10_000;
        mQueue.endLongWaits(mNowMillis);
        assertThat(mOutcomes).isEmpty();
    }

    /** An outcome may end other requests, for instance when their caller disconnects. */
    @Test
    void aWaitThatIsCancelledByAnotherOutcomeGetsNone() {
        List<AllowanceControl.Wait> second = new ArrayList<>();
        mQueue.admit(
                TEAM, ALLOWANCE, 1, new Recorder("a", () -> second.get(0).cancel()), mNowMillis);
        second.add(admit("b"));
        mNowMillis += AdmissionQueue.MAXIMUM_WAIT_MILLIS;
        mQueue.endLongWaits(mNowMillis);
        assertThat(mOutcomes).containsExactly("a refused");
    }

    /** What waits must not fill the memory of a VM whose holder does not answer. */
    @Test
    void aRequestThatFindsTheQueueFullIsRefusedAtOnce() {
        for (int i = 0; i < AdmissionQueue.MAXIMUM_WAITING; i++) {
            admit("a");
        }
        assertThat(mOutcomes).isEmpty();
        admit("b");
        assertThat(mOutcomes).containsExactly("b refused");
    }

    private void exchange() {
        mAccount.apply(
                mLedger.handle(
                        mAccount.nextRequest(mNowMillis), Map.of(TEAM, ALLOWANCE), 1, mNowMillis),
                mNowMillis);
        mQueue.decideAgain(mNowMillis);
    }

    private AllowanceControl.Wait admit(String name) {
        return mQueue.admit(TEAM, ALLOWANCE, 1, new Recorder(name, () -> {}), mNowMillis);
    }

    /** Records the outcome of a request. */
    private final class Recorder implements AllowanceControl.Outcome {
        private final String mName;
        private final Runnable mAction;

        Recorder(String name, Runnable action) {
            mName = name;
            mAction = action;
        }

        @Override
        public void onAdmitted() {
            mOutcomes.add(mName + " admitted");
            mAction.run();
        }

        @Override
        public void onRefused(long millisUntilRoom, String reason) {
            assertThat(millisUntilRoom).isAtLeast(1);
            mOutcomes.add(mName + " refused");
            mAction.run();
        }
    }
}
