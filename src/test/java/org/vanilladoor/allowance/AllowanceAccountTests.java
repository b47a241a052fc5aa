package org.vanilladoor.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
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
        assertThat(tryAdmit(0)).isEqualTo(Decision.NEEDS_ADVANCE);
        assertThat(mAccount.millisUntilRequest(0)).isEqualTo(0);
        exchange(0);
        assertThat(tryAdmit(2)).isEqualTo(Decision.ADMITTED);
    }

    /** Guards against use of an advance in a later window than the one it was granted in. */
    @Test
    void anAdvanceIsValidFor400MillisecondsFromTheRequestOn() {
        tryAdmit(0);
        exchange(0);
        assertThat(tryAdmit(400)).isEqualTo(Decision.NEEDS_ADVANCE);
        tryAdmit(500);
        exchange(500);
        assertThat(tryAdmit(899)).isEqualTo(Decision.ADMITTED);
    }

    /** Guards against units that are lost when callers move to another VM. */
    @Test
    void theRestOfAnAdvanceIsReturnedOnce() {
        exchange(0);
        exchange(10);
        tryAdmit(100);
        exchange(100);
        GrantRequest request = mAccount.nextRequest(520);
        assertThat(request.entries()).containsExactly(new GrantRequest.Entry("a", 0, 0, 1));
        mAccount.apply(mLedger.handle(request, ALLOWANCES, 1, 521), 522);
        assertThat(mAccount.nextRequest(1_000).entries()).isEmpty();
    }

    /** Guards against units returned to a holder that has not granted them. */
    @Test
    void theRestOfAnAdvanceIsNotReturnedToAnotherHolder() {
        exchange(0);
        exchange(10);
        tryAdmit(100);
        exchange(100);
        AllowanceLedger next = AllowanceLedger.create(TOLERANCE, 8);
        mAccount.apply(next.handle(mAccount.nextRequest(200), ALLOWANCES, 1, 201), 202);
        for (long millis = 600; millis < 4_000; millis += 400) {
            GrantRequest request = mAccount.nextRequest(millis);
            assertThat(request.entries()).isEmpty();
            mAccount.apply(next.handle(request, ALLOWANCES, 1, millis), millis + 1);
        }
    }

    /** Guards against advances from a process that has lost the lease. */
    @Test
    void aReplyOfALowerTermIsDropped() {
        exchange(0);
        tryAdmit(10);
        GrantRequest request = mAccount.nextRequest(10);
        GrantReply reply =
                new GrantReply(6, request.sequence(), List.of(new GrantReply.Entry("a", 9, 0)));
        mAccount.apply(reply, 12);
        assertThat(tryAdmit(13)).isEqualTo(Decision.NEEDS_ADVANCE);
        assertThat(mAccount.term()).isEqualTo(7);
    }

    /** Guards against an advance that is used twice because its reply came twice. */
    @Test
    void aRepeatedReplyIsDropped() {
        tryAdmit(0);
        GrantRequest request = mAccount.nextRequest(0);
        GrantReply reply = mLedger.handle(request, ALLOWANCES, 1, 1);
        mAccount.apply(reply, 2);
        assertThat(tryAdmit(3)).isEqualTo(Decision.ADMITTED);
        mAccount.apply(reply, 4);
        assertThat(tryAdmit(5)).isEqualTo(Decision.NEEDS_ADVANCE);
        assertThat(mLedger.handle(request, ALLOWANCES, 1, 6).entries()).isEmpty();
    }

    /** Guards against a new VM that uses a share before the others make theirs smaller. */
    @Test
    void aVmWithoutContactUsesItsOwnShareOnlyOnceAllKnowOfIt() {
        for (long millis = 0; millis < 3_000; millis += 100) {
            assertThat(tryAdmit(millis).isAdmitted()).isFalse();
        }
        mAccount.setVmCount(10);
        for (long millis = 3_000; millis < 19_000; millis += 100) {
            assertThat(tryAdmit(millis).isAdmitted()).isFalse();
        }
        assertThat(tryAdmit(19_200).isAdmitted()).isTrue();
    }

    /** Guards against a resumed VM that acts on what it knew before. */
    @Test
    void aResumedVmWaitsBeforeItUsesItsOwnShare() {
        mAccount.setVmCount(10);
        for (long millis = 0; millis < 20_000; millis += 100) {
            tryAdmit(millis);
        }
        assertThat(mAccount.isFallenBack(20_000)).isTrue();
        assertThat(tryAdmit(60_000)).isEqualTo(Decision.NEEDS_ADVANCE);
    }

    /** Guards against a message per request from a team far over its allowance. */
    @Test
    void aTeamOverItsAllowanceIsRefusedWithoutAsking() {
        Map<String, Allowance> small =
                Map.of("a", new Allowance(AllowanceUnit.REQUESTS, 1, 1, 200));
        AllowanceLedger ledger = AllowanceLedger.create(AllowanceTolerance.standard(), 7);
        for (long millis = 0; millis <= 20; millis += 10) {
            tryAdmit(millis);
            GrantRequest request = mAccount.nextRequest(millis);
            mAccount.apply(ledger.handle(request, small, 1, millis + 1), millis + 2);
        }
        Decision decision = tryAdmit(23);
        assertThat(decision.outcome()).isEqualTo(Decision.Outcome.REFUSED);
        assertThat(decision.millisUntilRoom()).isGreaterThan(250);
        assertThat(mAccount.millisUntilRequest(100)).isGreaterThan(300);
    }

    /** Guards against costs of requests of long ago that are used in another window. */
    @Test
    void onlyTheCostOfARecentRequestIsReturned() {
        exchange(0);
        exchange(10);
        tryAdmit(20);
        exchange(20);
        assertThat(tryAdmit(30)).isEqualTo(Decision.ADMITTED);
        mAccount.credit("a", 1, 30, 331);
        exchange(400);
        mAccount.credit("a", 1, 200, 450);
        assertThat(mAccount.nextRequest(460).entries())
                .containsExactly(new GrantRequest.Entry("a", 0, 0, 1));
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

    private Decision tryAdmit(long nowMillis) {
        return mAccount.tryAdmit("a", ALLOWANCE, 1, nowMillis);
    }

    private void exchange(long nowMillis) {
        GrantReply reply =
                mLedger.handle(mAccount.nextRequest(nowMillis), ALLOWANCES, 1, nowMillis + 1);
        mAccount.apply(reply, nowMillis + 2);
    }
}
