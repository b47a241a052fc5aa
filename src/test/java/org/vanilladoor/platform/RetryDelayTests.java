package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against VMs that call a failing store many times a second. */
class RetryDelayTests {
    private final RetryDelay mDelay = RetryDelay.create(new SplittableRandom(1));

    @Test
    void delaysDoubleUpToTheLimitWhileCallsFail() {
        assertThat(mDelay.afterFailure()).isIn(Range.closedOpen(100, 200));
        assertThat(mDelay.afterFailure()).isIn(Range.closedOpen(200, 400));
        for (int failure = 0; failure < 100; failure++) {
            assertThat(mDelay.afterFailure()).isIn(Range.closedOpen(400, 800));
        }
    }

    @Test
    void anOutageOfTenSecondsCausesFewCalls() {
        int calls = 0;
        for (int millis = 0; millis < 10_000; millis += mDelay.afterFailure()) {
            calls++;
        }
        assertThat(calls).isAtMost(25);
    }

    @Test
    void aSuccessMakesTheNextDelayTheShortestAgain() {
        mDelay.afterFailure();
        mDelay.afterFailure();
        mDelay.recordSuccess();
        assertThat(mDelay.afterFailure()).isIn(Range.closedOpen(100, 200));
    }
}
