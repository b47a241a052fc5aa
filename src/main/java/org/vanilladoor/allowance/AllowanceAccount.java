package org.vanilladoor.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one VM may use of the teams' allowances: advances that the holder of the fleet's lease has
 * granted it or, without contact with the holder, its own share.
 *
 * <p>The caller sends {@link #nextRequest} whenever {@link #millisUntilRequest} is 0 and gives the
 * reply to {@link #apply}; after that it asks again for each waiting request. A request that has
 * waited for 250 ms is asked for a last time with {@link #tryAdmitAfterWait}.
 *
 * <p>Invariant: the VM lends its share with a request only if the previous request was answered
 * quickly, and uses its share itself only after a time in which every holder that may have received
 * such a request has ceased to count it. Responds to the rate of requests of each team. Does no
 * I/O; time is passed in as an argument and is that of the {@code ExpiryClock}. Confined to the
 * control thread.
 */
public final class AllowanceAccount {
    /** Time after sending a request in which an advance granted for it may be used. */
    public static final long ADVANCE_VALIDITY_MILLIS = 400;

    /** Longest time that a request waits for an advance. */
    public static final long WAIT_MILLIS = 250;

    /** Time between two heartbeats. */
    public static final long HEARTBEAT_MILLIS = 500;

    /** Time after the last answered request from which on the VM uses its own share. */
    public static final long FALL_BACK_MILLIS = 2_000;

    /** A later reply doesn't count as contact. */
    private static final long QUICK_REPLY_MILLIS = 250;

    /** No holder counts a share for longer after the request that lent it was sent. */
    private static final long SHARE_FREE_MILLIS =
            AllowanceLedger.CONSECUTIVE_MILLIS + AllowanceLedger.LENT_MILLIS + 50;

    /** Longest time until a new VM is counted and all VMs know that number. */
    private static final long VM_COUNT_KNOWN_MILLIS = 16_000;

    /** A process that is called less often has been suspended. */
    private static final long SUSPENDED_MILLIS = 1_000;

    /** A request that has been admitted longer ago isn't returned when it does not run. */
    private static final long CREDIT_MILLIS = 300;

    private static final long IDLE_MILLIS = 10_000;
    private static final long UNKNOWN_ROOM_MILLIS = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final String mVm;
    private final String mIncarnation;
    private final AllowanceTolerance mTolerance;
    private final Map<String, TeamAccount> mTeams = new HashMap<>();
    private final Map<String, OwnShare> mOwnShares = new HashMap<>();
    private final Deque<SentRequest> mUnanswered = new ArrayDeque<>();
    private int mVmCount;
    private long mVmCountKnownMillis = NEVER;
    private long mContactMillis = NEVER;
    private long mCreditFromMillis = NEVER;
    private long mCalledMillis = NEVER;
    private long mSequence;
    private long mSentMillis = NEVER;
    private long mQuicklyAnswered;
    private long mTerm;
    private boolean mLends;
    private long mLentMillis = NEVER;
    private long mLendFromMillis = NEVER;

    private AllowanceAccount(String vm, String incarnation, AllowanceTolerance tolerance) {
        mVm = vm;
        mIncarnation = incarnation;
        mTolerance = tolerance;
    }

    /**
     * Returns the account of a process that has just started.
     *
     * @param incarnation tells this process from earlier ones of the same VM
     */
    public static AllowanceAccount create(
            String vm, String incarnation, AllowanceTolerance tolerance) {
        return new AllowanceAccount(vm, incarnation, tolerance);
    }

    /** Sets the number of live VMs; until it is known this VM has no share. */
    public void setVmCount(int vmCount) {
        mVmCount = Math.max(0, vmCount);
    }

    /** Deducts the cost of a request if the team has room on this VM. */
    public Decision tryAdmit(String team, Allowance allowance, double cost, long nowMillis) {
        noteTime(nowMillis);
        if (isFallenBack(nowMillis)) {
            return admitFromOwnShare(team, allowance, cost, nowMillis);
        }
        TeamAccount account = team(team);
        if (account.tryTake(cost, nowMillis)) {
            return Decision.ADMITTED;
        }
        long millisUntilRoom = account.millisUntilRoom(cost, nowMillis);
        if (millisUntilRoom >= WAIT_MILLIS) {
            return Decision.refused(millisUntilRoom);
        }
        account.addWaiting(cost);
        return Decision.NEEDS_ADVANCE;
    }

    /**
     * Returns the time after which the holder expects to have room for a request of this cost; 0 if
     * it may have room now.
     */
    public long millisUntilRoom(String team, double cost, long nowMillis) {
        TeamAccount account = mTeams.get(team);
        return account == null ? 0 : Math.max(0, account.millisUntilRoom(cost, nowMillis));
    }

    /** Deducts the cost of a request that can't wait any longer, or refuses it. */
    public Decision tryAdmitAfterWait(
            String team, Allowance allowance, double cost, long nowMillis) {
        noteTime(nowMillis);
        if (isFallenBack(nowMillis)) {
            return admitFromOwnShare(team, allowance, cost, nowMillis);
        }
        TeamAccount account = team(team);
        if (account.tryTake(cost, nowMillis)) {
            return Decision.ADMITTED;
        }
        long millisUntilRoom = account.millisUntilRoom(cost, nowMillis);
        return Decision.refused(millisUntilRoom > 0 ? millisUntilRoom : UNKNOWN_ROOM_MILLIS);
    }

    /**
     * Gives back the cost of an admitted request that did not run. Of one admitted long ago the
     * cost stays deducted, since a later use of it would belong to another window.
     *
     * @param admittedMillis when the request was admitted
     */
    public void credit(String team, double cost, long admittedMillis, long nowMillis) {
        boolean isRecent =
                nowMillis - admittedMillis <= CREDIT_MILLIS
                        && admittedMillis >= mCreditFromMillis
                        && !isFallenBack(nowMillis);
        if (isRecent) {
            team(team).addReturned(cost);
        }
    }

    /**
     * Returns the time until {@link #nextRequest} is due; requests that wait make it due sooner.
     */
    public long millisUntilRequest(long nowMillis) {
        noteTime(nowMillis);
        long sinceSentMillis = nowMillis - mSentMillis;
        boolean isAnswered = mQuicklyAnswered == mSequence;
        if (!isAnswered && sinceSentMillis < QUICK_REPLY_MILLIS) {
            return QUICK_REPLY_MILLIS - sinceSentMillis;
        }
        long millis = Math.max(0, HEARTBEAT_MILLIS - sinceSentMillis);
        if (isAnswered && mSequence > 0 && !mLends && mLendFromMillis - nowMillis < millis) {
            millis = Math.max(0, mLendFromMillis - nowMillis);
        }
        for (TeamAccount account : mTeams.values()) {
            if (account.hasWaiting()) {
                millis = Math.min(millis, account.millisUntilAsked(nowMillis));
            }
        }
        return millis;
    }

    /** Returns the request to send now; with or without entries it is this VM's heartbeat. */
    public GrantRequest nextRequest(long nowMillis) {
        noteTime(nowMillis);
        mLends = mayLend(nowMillis);
        if (mLends) {
            mLentMillis = nowMillis;
        }
        List<GrantRequest.Entry> entries = new ArrayList<>();
        mTeams.forEach(
                (name, account) -> {
                    account.expire(nowMillis);
                    double returned = account.takeReturned();
                    account.addEntries(name, mLends ? returned : 0, entries, nowMillis);
                    account.clearWaiting();
                });
        mTeams.values().removeIf(account -> account.isIdle(nowMillis, IDLE_MILLIS));
        mSequence++;
        mSentMillis = nowMillis;
        GrantRequest request =
                new GrantRequest(mVm, mIncarnation, mSequence, mLends ? mTerm : 0, entries);
        mUnanswered.removeIf(
                sent -> nowMillis - sent.sentMillis() > AllowanceLedger.CONSECUTIVE_MILLIS);
        mUnanswered.add(new SentRequest(request, nowMillis));
        return request;
    }

    /** Takes over what a holder grants. Replies of an earlier holder, or repeated, are dropped. */
    public void apply(GrantReply reply, long nowMillis) {
        noteTime(nowMillis);
        SentRequest sent = takeUnanswered(reply.sequence());
        if (reply.term() < mTerm || sent == null) {
            return;
        }
        if (reply.term() > mTerm) {
            followHolder(reply.term(), nowMillis);
        }
        if (nowMillis - sent.sentMillis() <= QUICK_REPLY_MILLIS) {
            recordContact(sent, nowMillis);
        }
        long endMillis = sent.sentMillis() + ADVANCE_VALIDITY_MILLIS;
        int entries = Math.min(sent.request().entries().size(), reply.entries().size());
        for (int i = 0; i < entries && endMillis > nowMillis; i++) {
            GrantRequest.Entry entry = sent.request().entries().get(i);
            team(entry.team()).recordReply(entry, reply.entries().get(i), endMillis, nowMillis);
        }
        mTeams.values().forEach(TeamAccount::clearWaiting);
    }

    /**
     * Records that the holder which answered last says that its term is over. It counts no shares
     * any more, so that this VM may use its own at once.
     */
    public void recordHolderEnded(long nowMillis) {
        noteTime(nowMillis);
        if (mTerm > 0 && !isFallenBack(nowMillis)) {
            mContactMillis = nowMillis - FALL_BACK_MILLIS;
            mLends = false;
            mOwnShares.clear();
        }
    }

    /** Returns whether this VM has had no contact with a holder for so long that it is alone. */
    public boolean isFallenBack(long nowMillis) {
        return mContactMillis != NEVER && nowMillis - mContactMillis >= FALL_BACK_MILLIS;
    }

    /** Returns the highest term of a holder that has answered this VM, or 0. */
    public long term() {
        return mTerm;
    }

    /**
     * A process that has just started or was suspended waits before it uses its own share: it may
     * not know the present number of VMs, nor that there is a holder.
     */
    private void noteTime(long nowMillis) {
        if (nowMillis - mCalledMillis > SUSPENDED_MILLIS) {
            mContactMillis = nowMillis;
            mOwnShares.clear();
        }
        mCalledMillis = nowMillis;
        if (mVmCount > 0 && mVmCountKnownMillis == NEVER) {
            mVmCountKnownMillis = nowMillis;
        }
    }

    private boolean mayLend(long nowMillis) {
        return mSequence > 0
                && mQuicklyAnswered == mSequence
                && nowMillis - mSentMillis <= AllowanceLedger.CONSECUTIVE_MILLIS
                && nowMillis >= mLendFromMillis;
    }

    private SentRequest takeUnanswered(long sequence) {
        for (SentRequest sent : mUnanswered) {
            if (sent.sequence() == sequence) {
                mUnanswered.remove(sent);
                return sent;
            }
        }
        return null;
    }

    /** The previous holder may go on counting this VM's share for a while. */
    private void followHolder(long term, long nowMillis) {
        if (mTerm > 0) {
            mLendFromMillis = mLentMillis + SHARE_FREE_MILLIS;
            mCreditFromMillis = nowMillis + ADVANCE_VALIDITY_MILLIS;
            mTeams.values().forEach(TeamAccount::dropReturned);
        }
        mLends = false;
        mTerm = term;
    }

    private void recordContact(SentRequest sent, long nowMillis) {
        if (isFallenBack(nowMillis)) {
            mCreditFromMillis = Math.max(mCreditFromMillis, nowMillis);
            mOwnShares.clear();
        }
        mQuicklyAnswered = Math.max(mQuicklyAnswered, sent.sequence());
        mContactMillis = Math.max(mContactMillis, sent.sentMillis());
    }

    private Decision admitFromOwnShare(
            String team, Allowance allowance, double cost, long nowMillis) {
        long sinceMillis =
                Math.max(
                        mContactMillis + FALL_BACK_MILLIS,
                        mVmCountKnownMillis + VM_COUNT_KNOWN_MILLIS);
        if (mVmCount == 0 || nowMillis < sinceMillis) {
            return Decision.refused(UNKNOWN_ROOM_MILLIS);
        }
        OwnShare share =
                mOwnShares.computeIfAbsent(team, name -> new OwnShare(mVm, name, sinceMillis));
        AllowanceBudget budget = AllowanceBudget.of(allowance, mTolerance).shareOfOne(mVmCount);
        return share.tryAdmit(allowance.unit(), budget, cost, mTolerance, nowMillis);
    }

    private TeamAccount team(String name) {
        return mTeams.computeIfAbsent(name, team -> new TeamAccount());
    }

    /** A request without a reply. */
    private record SentRequest(GrantRequest request, long sentMillis) {
        long sequence() {
            return request.sequence();
        }
    }
}
