package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests one VM's account against one holder's ledger. */
class AllowanceAccountTests {
    private static final AllowanceTolerance TOLERANCE = new AllowanceTolerance(8_000, 0.1, 1_000);
    private static final Allowance ALLOWANCE = new Allowance(AllowanceUnit.REQUESTS, 100, 100, 200);
    private static final Map<String, Allowance> ALLOWANCES = Map.of("a", ALLOWANCE);
    private final AllowanceAccount mAccount = AllowanceAccount.create("vm", "1", TOLERANCE);
    private final AllowanceLedger mLedger = AllowanceLedger.create(TOLERANCE, 7);

    /** Guards against a start of the fleet in which no team gets an advance. */
    @Test
    void aRequestIsAdmittedAfterTheFirstReply() {
        mAccount.setVmCount(1);
        assertThat(mAccount.tryAdmit("a", ALLOWANCE, 1, 0)).isEqualTo(Decision.NEEDS_ADVANCE);
        assertThat(mAccount.millisUntilRequest(0)).isEqualTo(0);
        exchange(0);
        assertThat(mAccount.tryAdmit("a", ALLOWANCE, 1, 2)).isEqualTo(Decision.ADMITTED);
    }

    /** Guards against costs that depend on the unit being mixed up. */
    @Test
    void theUnitDecidesWhatARequestCosts() {
        assertThat(AllowanceUnit.REQUESTS.cost(OptionalLong.of(700), 200)).isEqualTo(1);
        assertThat(AllowanceUnit.TOKENS.cost(OptionalLong.of(700), 200)).isEqualTo(700);
        assertThat(AllowanceUnit.TOKENS.cost(OptionalLong.empty(), 200)).isEqualTo(200);
    }

    /** Guards against two seconds without requests after each regular change of the holder. */
    @Test
    void aVmUsesItsOwnShareAtOnceWhenTheHolderSaysThatItsTermIsOver() {
        mAccount.setVmCount(1);
        for (long millis = 0; millis <= 20_000; millis += 500) {
            exchange(millis);
        }
        mAccount.recordHolderEnded(20_010);
        assertThat(mAccount.isFallenBack(20_010)).isTrue();
        assertThat(mAccount.tryAdmit("a", ALLOWANCE, 1, 20_100)).isEqualTo(Decision.ADMITTED);
        assertThat(mAccount.tryAdmit("a", ALLOWANCE, 100, 20_100).isAdmitted()).isFalse();
    }

    private void exchange(long nowMillis) {
        GrantReply reply =
                mLedger.handle(mAccount.nextRequest(nowMillis), ALLOWANCES, 1, nowMillis + 1);
        mAccount.apply(reply, nowMillis + 2);
    }
}
