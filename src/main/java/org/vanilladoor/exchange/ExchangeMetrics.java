package org.vanilladoor.exchange;

import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.gateway.GatewayMetrics;

/**
 * Counts messages between VMs and the use of allowances, and logs each team's use now and then.
 *
 * <p>What concerns a team is confined to the control thread; the counts of messages are safe for
 * use by any thread.
 */
final class ExchangeMetrics {
    /** Time between two log lines on the same team. */
    private static final long LOG_INTERVAL_MILLIS = 5_000;

    private final GatewayMetrics mMetrics;
    private final Map<String, TeamUse> mUseByTeam = new TreeMap<>();
    private long mLoggedMillis;

    ExchangeMetrics(GatewayMetrics metrics) {
        mMetrics = metrics;
    }

    void countSentHeartbeat() {
        mMetrics.count("exchange.heartbeats_sent");
    }

    void countUnansweredHeartbeat() {
        mMetrics.count("exchange.heartbeats_unanswered");
    }

    void countHandledHeartbeat() {
        mMetrics.count("exchange.heartbeats_handled");
    }

    void countRefusedMessage() {
        mMetrics.count("exchange.messages_refused");
    }

    /** Counts a request that waited for an advance. */
    void countWait(String team) {
        mMetrics.addForTeam("allowance.waits", team, 1);
        useOf(team).mWaited++;
    }

    void countAdmitted(String team, double cost) {
        mMetrics.addForTeam("allowance.admitted", team, 1);
        useOf(team).mAdmitted++;
        mMetrics.addForTeam("allowance.cost", team, Math.round(cost));
        useOf(team).mCost += cost;
    }

    void countRefused(String team) {
        mMetrics.addForTeam("allowance.refused", team, 1);
        useOf(team).mRefused++;
    }

    void countCredited(String team, double cost) {
        mMetrics.addForTeam("allowance.credited", team, Math.round(cost));
        useOf(team).mCredited += cost;
    }

    /** Counts what the lease holder granted to this VM. */
    void countAdvance(String team, double granted) {
        mMetrics.addForTeam("allowance.advanced", team, Math.round(granted));
        useOf(team).mAdvanced += granted;
    }

    /** Writes what the teams have used since the last lines, if that was some time ago. */
    void logTeams(long nowMillis) {
        if (nowMillis - mLoggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedMillis = nowMillis;
        mUseByTeam.forEach(
                (team, use) ->
                        EventLog.write(
                                "allowance",
                                "team.used",
                                "team",
                                team,
                                "cost",
                                Math.round(use.mCost),
                                "admitted",
                                use.mAdmitted,
                                "waited",
                                use.mWaited,
                                "refused",
                                use.mRefused,
                                "advanced",
                                Math.round(use.mAdvanced),
                                "credited",
                                Math.round(use.mCredited)));
        mUseByTeam.clear();
    }

    private TeamUse useOf(String team) {
        return mUseByTeam.computeIfAbsent(team, name -> new TeamUse());
    }

    /** What one team has used on this VM since the last log line. */
    private static final class TeamUse {
        private double mCost;
        private long mAdmitted;
        private long mWaited;
        private long mRefused;
        private double mAdvanced;
        private double mCredited;
    }
}
