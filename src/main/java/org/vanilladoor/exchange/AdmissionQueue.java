package org.vanilladoor.exchange;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceAccount;
import org.vanilladoor.allowance.Decision;
import org.vanilladoor.gateway.AllowanceControl;

/**
 * Charges requests to the account of this VM, and keeps those that wait for an advance.
 *
 * <p>Responds to the requests of teams with an allowance. Invariants: each request gets one outcome
 * within {@value #MAXIMUM_WAIT_MILLIS} ms and one check, unless its wait is cancelled; at most
 * {@value #MAXIMUM_WAITING} requests wait. While the holder has no room for a team, only the
 * request that has waited longest goes on waiting, so that the others learn at once that there is
 * none. Does no I/O; time is passed in as an argument. Confined to the control thread.
 */
final class AdmissionQueue {
    /** Longest time for which a request waits for an advance; a reply takes some milliseconds. */
    static final long MAXIMUM_WAIT_MILLIS = AllowanceAccount.WAIT_MILLIS;

    /** Ten times the requests that a VM of 0.25 cores can serve in that time. */
    static final int MAXIMUM_WAITING = 2_000;

    /** Retry-After while the holder does not answer; a VM then soon uses its own share. */
    private static final long NO_ANSWER_RETRY_MILLIS = 500;

    private static final String USED_UP = "the allowance is used up";

    private final AllowanceAccount mAccount;
    private final ExchangeMetrics mMetrics;
    private final Set<Waiting> mWaiting = new LinkedHashSet<>();

    AdmissionQueue(AllowanceAccount account, ExchangeMetrics metrics) {
        mAccount = account;
        mMetrics = metrics;
    }

    /** Charges a request now, or lets it wait; see {@link AllowanceControl#admit}. */
    AllowanceControl.Wait admit(
            String team,
            Allowance allowance,
            double cost,
            AllowanceControl.Outcome outcome,
            long nowMillis) {
        Waiting request = new Waiting(team, allowance, cost, outcome, nowMillis);
        long millisUntilRoom = mAccount.millisUntilRoom(team, cost, nowMillis);
        if (millisUntilRoom > 0 && isWaiting(team)) {
            refuse(request, millisUntilRoom, USED_UP);
            return AllowanceControl.Wait.NONE;
        }
        if (tryDecide(request, nowMillis)) {
            return AllowanceControl.Wait.NONE;
        }
        if (mWaiting.size() >= MAXIMUM_WAITING) {
            refuse(request, NO_ANSWER_RETRY_MILLIS, "too many requests wait for an advance");
            return AllowanceControl.Wait.NONE;
        }
        mMetrics.countWait(team);
        mWaiting.add(request);
        return () -> mWaiting.remove(request);
    }

    private boolean isWaiting(String team) {
        return mWaiting.stream().anyMatch(each -> each.mTeam.equals(team));
    }

    /** Returns whether requests wait for an advance. */
    boolean isWaiting() {
        return !mWaiting.isEmpty();
    }

    /** Decides on the requests that wait, after a reply of the holder. */
    void decideAgain(long nowMillis) {
        Set<String> teamsWaiting = new HashSet<>();
        for (Waiting request : List.copyOf(mWaiting)) {
            // The outcome of one request may end the wait of another.
            if (mWaiting.contains(request)) {
                decideInLine(request, teamsWaiting, nowMillis);
            }
        }
    }

    /** Refuses the request if the holder has no room for it and another one has waited longer. */
    private void decideInLine(Waiting request, Set<String> teamsWaiting, long nowMillis) {
        long millisUntilRoom = mAccount.millisUntilRoom(request.mTeam, request.mCost, nowMillis);
        if (millisUntilRoom > 0 && teamsWaiting.contains(request.mTeam)) {
            mWaiting.remove(request);
            refuse(request, millisUntilRoom, USED_UP);
        } else if (tryDecide(request, nowMillis)) {
            mWaiting.remove(request);
        } else {
            teamsWaiting.add(request.mTeam);
        }
    }

    /** Decides on the requests that have waited long enough, without an advance if need be. */
    void endLongWaits(long nowMillis) {
        List<Waiting> ended = new ArrayList<>();
        for (Waiting request : mWaiting) {
            if (nowMillis - request.mSinceMillis < MAXIMUM_WAIT_MILLIS) {
                break;
            }
            ended.add(request);
        }
        for (Waiting request : ended) {
            if (!mWaiting.remove(request)) {
                // The outcome of another request has ended this wait.
                continue;
            }
            Decision decision =
                    mAccount.tryAdmitAfterWait(
                            request.mTeam, request.mAllowance, request.mCost, nowMillis);
            decide(request, decision, "the lease holder granted no advance in time");
        }
    }

    /** Gives the request its outcome, unless it needs an advance; returns whether it did. */
    private boolean tryDecide(Waiting request, long nowMillis) {
        Decision decision =
                mAccount.tryAdmit(request.mTeam, request.mAllowance, request.mCost, nowMillis);
        return decide(request, decision, USED_UP);
    }

    private boolean decide(Waiting request, Decision decision, String refusalReason) {
        return switch (decision.outcome()) {
            case ADMITTED -> {
                mMetrics.countAdmitted(request.mTeam, request.mCost);
                request.mOutcome.onAdmitted();
                yield true;
            }
            case REFUSED -> {
                refuse(request, decision.millisUntilRoom(), refusalReason);
                yield true;
            }
            case NEEDS_ADVANCE -> false;
        };
    }

    private void refuse(Waiting request, long millisUntilRoom, String reason) {
        mMetrics.countRefused(request.mTeam);
        request.mOutcome.onRefused(
                millisUntilRoom,
                "team %s: %s; cost %.0f, room in %d ms"
                        .formatted(request.mTeam, reason, request.mCost, millisUntilRoom));
    }

    /** A request without an outcome. */
    private static final class Waiting {
        private final String mTeam;
        private final Allowance mAllowance;
        private final double mCost;
        private final AllowanceControl.Outcome mOutcome;
        private final long mSinceMillis;

        Waiting(
                String team,
                Allowance allowance,
                double cost,
                AllowanceControl.Outcome outcome,
                long sinceMillis) {
            mTeam = team;
            mAllowance = allowance;
            mCost = cost;
            mOutcome = outcome;
            mSinceMillis = sinceMillis;
        }
    }
}
