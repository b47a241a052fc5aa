package org.vanilladoor.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The calls that a process makes under a lease, as far as they limit what it may do next.
 *
 * <p>Receivers may not check terms, so no call may arrive after one of a later term. Invariants: a
 * call ends before the validity under which it was begun; while one of an earlier term may still
 * arrive, none is begun; the lease is not released while a call may still arrive, nor so soon that
 * a former holder could act again within the minimum turn. Time is passed in as an argument.
 * Confined to the control thread.
 */
final class CallLedger {
    private final LeaseTiming mTiming;
    private final Map<Long, CallGrant> mOpen = new HashMap<>();
    private long mLastIdentifier;
    private long mUnansweredTerm;
    private long mUnansweredUntilMillis = Long.MIN_VALUE;
    private boolean mHasCalled;
    private long mFirstCallMillis;

    private CallLedger(LeaseTiming timing) {
        mTiming = timing;
    }

    static CallLedger create(LeaseTiming timing) {
        return new CallLedger(timing);
    }

    /** Returns whether a call may begin under a term that is valid until the given time. */
    boolean mayBegin(long term, long validUntilMillis, long nowMillis) {
        boolean hasTime =
                validUntilMillis - mTiming.callMarginMillis() - nowMillis
                        >= mTiming.minimumCallMillis();
        boolean mayEarlierCallArrive =
                open(nowMillis).anyMatch(grant -> grant.term() < term)
                        || (mUnansweredTerm < term && nowMillis < mUnansweredUntilMillis);
        return hasTime && !mayEarlierCallArrive;
    }

    /** Records a call that begins, if it may. */
    Optional<CallGrant> begin(long term, long validUntilMillis, long nowMillis) {
        if (!mayBegin(term, validUntilMillis, nowMillis)) {
            return Optional.empty();
        }
        mOpen.values().removeIf(grant -> isOverdue(grant, nowMillis));
        if (!mHasCalled) {
            mHasCalled = true;
            mFirstCallMillis = nowMillis;
        }
        mLastIdentifier++;
        CallGrant grant =
                new CallGrant(mLastIdentifier, term, validUntilMillis - mTiming.callMarginMillis());
        mOpen.put(grant.identifier(), grant);
        return Optional.of(grant);
    }

    void end(CallGrant grant, CallOutcome outcome, long nowMillis) {
        boolean wasOpen = mOpen.remove(grant.identifier()) != null;
        if (wasOpen && outcome == CallOutcome.UNKNOWN) {
            mUnansweredTerm = Math.max(mUnansweredTerm, grant.term());
            mUnansweredUntilMillis = nowMillis + mTiming.deliveryMillis();
        }
    }

    /** Records that this process has acquired the lease from another holder. */
    void onAcquired() {
        mHasCalled = false;
    }

    boolean mayRelease(long nowMillis) {
        boolean isTurnOver =
                !mHasCalled || nowMillis - mFirstCallMillis >= mTiming.minimumTurnMillis();
        return open(nowMillis).findAny().isEmpty()
                && nowMillis >= mUnansweredUntilMillis
                && isTurnOver;
    }

    private Stream<CallGrant> open(long nowMillis) {
        return mOpen.values().stream().filter(grant -> !isOverdue(grant, nowMillis));
    }

    /** Returns whether a call must have ended, though its end was not reported. */
    private boolean isOverdue(CallGrant grant, long nowMillis) {
        return nowMillis >= grant.endMillis() + mTiming.deliveryMillis();
    }
}
