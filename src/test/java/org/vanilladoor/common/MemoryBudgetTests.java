package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.MemoryBudget.Use;

/** Tests of the memory that messages may take together. */
class MemoryBudgetTests {
    private static final long CAPACITY_BYTES = 1_000;
    private final MemoryBudget mMemory = MemoryBudget.of(CAPACITY_BYTES);

    @Test
    void aSingleAccountTakesHalfOfTheBudget() {
        MemoryBudget.Account account = mMemory.open(Use.REQUEST_BODY);
        assertThat(account.tryResize(500)).isTrue();
        assertThat(account.tryResize(501)).isFalse();
        assertThat(mMemory.heldBytes(Use.REQUEST_BODY)).isEqualTo(500);
        assertThat(mMemory.rejections(Use.REQUEST_BODY)).isEqualTo(1);
    }

    @Test
    void accountsThatGrowWithoutEndLeaveRoomForSmallOnes() {
        List<MemoryBudget.Account> endless = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            endless.add(mMemory.open(Use.RESPONSE_BODY));
        }
        for (long bytes = 1; bytes <= CAPACITY_BYTES; bytes++) {
            for (MemoryBudget.Account account : endless) {
                account.tryResize(bytes);
            }
        }
        assertThat(mMemory.heldBytes(Use.RESPONSE_BODY)).isEqualTo(900);
        assertThat(mMemory.open(Use.REQUEST_BODY).tryResize(50)).isTrue();
    }

    @Test
    void anAccountMayAlwaysShrink() {
        MemoryBudget.Account account = mMemory.open(Use.RESPONSE_OUTPUT);
        account.resize(2_000);
        assertThat(account.tryResize(1_900)).isTrue();
        assertThat(mMemory.heldBytes(Use.RESPONSE_OUTPUT)).isEqualTo(1_900);
    }

    @Test
    void aClosedAccountHoldsNothing() {
        MemoryBudget.Account account = mMemory.open(Use.RESPONSE_INPUT);
        account.resize(100);
        account.close();
        account.resize(100);
        assertThat(mMemory.heldBytes(Use.RESPONSE_INPUT)).isEqualTo(0);
    }
}
