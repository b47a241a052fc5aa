package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.vanilladoor.gateway.ServiceLoadSink.Counter;
import org.vanilladoor.gateway.ServiceLoadSink.Gauge;

/** Tests that a prompt counts once as waiting, prefilled or missed, however its request ends. */
class PrefillLoadTests {
    private static final long OBJECTIVE_MILLIS = 1_265;
    private final RecordingSink mSink = new RecordingSink();
    private final PrefillLoad mLoad = PrefillLoad.create(mSink, "model", OBJECTIVE_MILLIS);

    @Test
    void aPromptThatWaitsPastItsObjectiveIsMissedOnceAlsoIfItIsRefused() {
        mLoad.setPrefilling(true);
        mLoad.startWaiting();
        mLoad.endWaiting(OBJECTIVE_MILLIS + 1);
        mLoad.recordRefusal(Refusal.OVERLOADED);
        mLoad.setPrefilling(false);
        mLoad.endWaiting(OBJECTIVE_MILLIS + 2);
        assertThat(mSink.mCounts)
                .containsExactly(Counter.ARRIVED_PROMPTS, 1L, Counter.MISSED_PROMPTS, 1L);
        assertThat(mSink.mGauges).containsExactly(Gauge.PREFILLS, 0L, Gauge.WAITING_PROMPTS, 0L);
    }

    @Test
    void aPromptThatGetsAnEngineInTimeIsNotMissed() {
        mLoad.setPrefilling(true);
        mLoad.startWaiting();
        mLoad.endWaiting(OBJECTIVE_MILLIS);
        mLoad.recordPrefilled();
        assertThat(mSink.mCounts)
                .containsExactly(Counter.ARRIVED_PROMPTS, 1L, Counter.PREFILLED_PROMPTS, 1L);
    }

    @Test
    void aRefusalForAnotherReasonOrOutsidePrefillIsNotMissed() {
        mLoad.recordRefusal(Refusal.OVERLOADED);
        mLoad.setPrefilling(true);
        mLoad.recordRefusal(Refusal.NOT_RUN);
        assertThat(mSink.mCounts).containsExactly(Counter.ARRIVED_PROMPTS, 1L);
    }

    /** Sums all changes. */
    private static final class RecordingSink implements ServiceLoadSink {
        private final Map<Gauge, Long> mGauges = new EnumMap<>(Gauge.class);
        private final Map<Counter, Long> mCounts = new EnumMap<>(Counter.class);

        @Override
        public void adjust(String service, Gauge gauge, long change) {
            mGauges.merge(gauge, change, Long::sum);
        }

        @Override
        public void count(String service, Counter counter, long number) {
            mCounts.merge(counter, number, Long::sum);
        }
    }
}
