package org.vanilladoor.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the holder of the fleet's lease knows about allowances: which VMs lend it their shares, and
 * how much of each team's allowance is left.
 *
 * <p>Every VM owns an equal part of each team's rate and burst. The holder grants advances from the
 * parts of the VMs that lend them to it at present. Invariant: a VM's part is counted only while
 * the VM can't be using it itself (see {@link AllowanceAccount}). Responds to the rate of requests
 * of each team. Does no I/O; time is passed in as an argument. Confined to the control thread.
 */
public final class AllowanceLedger {
    /** Longest time from a grant until its rest is back; see the design note. */
    static final long RETURN_MILLIS = 2_000;

    /** Longest time between two requests of a VM that lends its share. */
    static final long CONSECUTIVE_MILLIS = 800;

    /** Time for which a request lends the share of its sender. */
    static final long LENT_MILLIS = 900;

    /** Time after its first request for which a ledger grants from its start level. */
    private static final long START_MILLIS = 1_500;

    /** VMs that a ledger hears from in its first time are no new VMs. */
    private static final long TAKE_OVER_MILLIS = 6_000;

    /**
     * Time after the first request of a new VM after which all VMs know a number that counts it.
     */
    private static final long SETTLED_MILLIS = 14_000;

    private static final long FORGET_MILLIS = 30_000;

    /** VMs lend their shares soon after they have found a new holder, so a request may wait. */
    private static final long NO_FILL_RETRY_MILLIS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;
    private final AllowanceTolerance mTolerance;
    private final long mTerm;
    private final Map<String, Lender> mLenders = new HashMap<>();
    private final Map<String, TeamBucket> mBuckets = new HashMap<>();
    private final VmCountHistory mVmCounts = new VmCountHistory();
    private boolean mIsStarted;
    private long mStartMillis;
    private long mNowMillis;
    private double mFilledSeconds;
    private double mLentPart;

    private AllowanceLedger(AllowanceTolerance tolerance, long term) {
        mTolerance = tolerance;
        mTerm = term;
    }

    /** Returns the ledger of a process that has just taken the lease in a term. */
    public static AllowanceLedger create(AllowanceTolerance tolerance, long term) {
        return new AllowanceLedger(tolerance, term);
    }

    /**
     * Grants what a VM asks for, as far as there is room.
     *
     * @param allowances the allowances in force, by team
     * @param vmCount number of live VMs
     * @param nowMillis time of the {@code ExpiryClock}
     */
    public GrantReply handle(
            GrantRequest request, Map<String, Allowance> allowances, int vmCount, long nowMillis) {
        advance(Math.max(1, vmCount), nowMillis);
        Lender lender = mLenders.computeIfAbsent(request.vm(), vm -> newLender(nowMillis));
        if (lender.isRepeated(request)) {
            return new GrantReply(mTerm, request.sequence(), List.of());
        }
        boolean lends = request.term() == mTerm && lender.isConsecutive(request, nowMillis);
        boolean beginsToLend = lends && lender.mLentUntilMillis <= nowMillis;
        lender.record(request, lends, nowMillis);
        if (beginsToLend) {
            mLentPart = lentPart(nowMillis);
        }
        if (mBuckets.size() > allowances.size()) {
            mBuckets.keySet().retainAll(allowances.keySet());
        }
        List<GrantReply.Entry> entries = new ArrayList<>(request.entries().size());
        for (GrantRequest.Entry entry : request.entries()) {
            entries.add(grant(entry, lends, allowances.get(entry.team()), nowMillis));
        }
        return new GrantReply(mTerm, request.sequence(), entries);
    }

    /** Adds up for how long shares have been lent since the last request. */
    private void advance(int vmCount, long nowMillis) {
        if (!mIsStarted) {
            mIsStarted = true;
            mStartMillis = nowMillis;
            mNowMillis = nowMillis;
        }
        mVmCounts.record(vmCount, nowMillis);
        if (nowMillis <= mNowMillis) {
            return;
        }
        double lentPart = lentPart(nowMillis);
        double lentMillis = Math.min(mLentPart, lentPart) * (nowMillis - mNowMillis);
        mFilledSeconds += lentMillis / MILLIS_PER_SECOND;
        mNowMillis = nowMillis;
        mLentPart = lentPart;
        mLenders.values().removeIf(i -> nowMillis - i.mHandledMillis > FORGET_MILLIS);
    }

    /**
     * Returns which part of all shares is lent now. VMs that don't lend theirs may be using them,
     * and may know any number of VMs of the last seconds. New VMs count only if no VM is missing,
     * since the others still use larger shares.
     */
    private double lentPart(long nowMillis) {
        int lending = 0;
        int settled = 0;
        for (Lender lender : mLenders.values()) {
            if (lender.mLentUntilMillis > nowMillis) {
                lending++;
                settled += lender.isSettled(nowMillis) ? 1 : 0;
            }
        }
        if (lending >= mVmCounts.highest()) {
            return 1;
        }
        return Math.min(1, (double) settled / mVmCounts.lowest());
    }

    private Lender newLender(long nowMillis) {
        boolean isNew = nowMillis - mStartMillis >= TAKE_OVER_MILLIS;
        return new Lender(isNew ? nowMillis + SETTLED_MILLIS : nowMillis);
    }

    private GrantReply.Entry grant(
            GrantRequest.Entry entry, boolean lends, Allowance allowance, long nowMillis) {
        double needed = Math.max(0, entry.needed());
        double wanted = Math.max(needed, entry.wanted());
        if (allowance == null) {
            return new GrantReply.Entry(entry.team(), wanted, 0);
        }
        AllowanceBudget budget = AllowanceBudget.of(allowance, mTolerance);
        double capacity = capacity(budget, nowMillis);
        TeamBucket bucket = bucket(entry.team(), budget, nowMillis);
        double overflowLimit = allowance.ratePerSecond() * windowSeconds();
        bucket.fill(budget, capacity, overflowLimit, mFilledSeconds, nowMillis);
        if (lends && entry.returned() > 0) {
            bucket.putBack(entry.returned(), capacity);
        }
        double shortfall = bucket.shortfall(needed, capacity, budget.oversize());
        if (shortfall > 0) {
            return new GrantReply.Entry(entry.team(), 0, millisToFill(shortfall, budget));
        }
        return new GrantReply.Entry(entry.team(), bucket.grant(needed, wanted), 0);
    }

    private double capacity(AllowanceBudget budget, long nowMillis) {
        boolean isNew = nowMillis - mStartMillis < START_MILLIS;
        return Math.max(budget.capacity() * mLentPart, isNew ? budget.start() : 0);
    }

    /** A team that sends its first request has saved up since the ledger exists. */
    private TeamBucket bucket(String team, AllowanceBudget budget, long nowMillis) {
        return mBuckets.computeIfAbsent(team, name -> new TeamBucket(budget.start(), 0, nowMillis));
    }

    private long millisToFill(double units, AllowanceBudget budget) {
        double perMilli = budget.fillPerSecond() * mLentPart / MILLIS_PER_SECOND;
        return perMilli > 0
                ? Math.max(1, (long) Math.ceil(units / perMilli))
                : NO_FILL_RETRY_MILLIS;
    }

    private double windowSeconds() {
        return mTolerance.windowMillis() / MILLIS_PER_SECOND;
    }

    /** What is known of one VM. */
    private static final class Lender {
        private final long mSettledMillis;
        private String mIncarnation = "";
        private long mSequence;
        private long mHandledMillis;
        private long mLentUntilMillis = Long.MIN_VALUE;

        Lender(long settledMillis) {
            mSettledMillis = settledMillis;
        }

        boolean isRepeated(GrantRequest request) {
            return mIncarnation.equals(request.incarnation()) && request.sequence() <= mSequence;
        }

        /**
         * A VM lends its share only after a quick reply to its previous request. If that one was
         * handled a short time ago, this one can't have been on the way for longer.
         */
        boolean isConsecutive(GrantRequest request, long nowMillis) {
            return mIncarnation.equals(request.incarnation())
                    && request.sequence() == mSequence + 1
                    && nowMillis - mHandledMillis <= CONSECUTIVE_MILLIS;
        }

        void record(GrantRequest request, boolean lends, long nowMillis) {
            mIncarnation = request.incarnation();
            mSequence = request.sequence();
            mHandledMillis = nowMillis;
            if (lends) {
                mLentUntilMillis = nowMillis + LENT_MILLIS;
            }
        }

        boolean isSettled(long nowMillis) {
            return nowMillis >= mSettledMillis;
        }
    }
}
