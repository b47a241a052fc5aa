package org.vanilladoor.transport;

import org.apache.hc.core5.reactor.IOWorkerSelector;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;

/**
 * Limits the number of callers' connections.
 *
 * <p>HttpCore asks on its accepting thread, after each accept, which worker takes the connection.
 * That thread is held here while there is no room, so that further connections wait in the system's
 * queue and accepting never fails for lack of descriptors. Invariant: at most one connection more
 * than the limit is open. Safe for use by any thread.
 */
final class CallerConnectionLimit implements IOWorkerSelector {
    private static final long POLL_MILLIS = 5;

    /** Minimum interval between log lines about a limit that is reached. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final int mMaximumConnections;
    private final CallerSessions mSessions;
    private long mClosedCount;
    private long mNextLogMillis = Long.MIN_VALUE;
    private volatile boolean mEnded;

    private CallerConnectionLimit(int maximumConnections, CallerSessions sessions) {
        mMaximumConnections = maximumConnections;
        mSessions = sessions;
    }

    static CallerConnectionLimit of(int maximumConnections, CallerSessions sessions) {
        return new CallerConnectionLimit(maximumConnections, sessions);
    }

    /** Waits until there is room for the connection that was accepted. */
    @Override
    public int select(IOWorkerStats[] workers) {
        IOWorkerStats onlyWorker = workers[0];
        while (!mEnded && openConnections(onlyWorker) >= mMaximumConnections) {
            closeOne(MonotonicClock.nowMillis());
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 0;
            }
        }
        return 0;
    }

    /** Ends the limit, since the server stops. */
    void end() {
        mEnded = true;
    }

    private static int openConnections(IOWorkerStats worker) {
        return worker.totalChannelCount() + worker.pendingChannelCount();
    }

    private void closeOne(long nowMillis) {
        mSessions
                .closeFirstCandidate(nowMillis)
                .ifPresent(
                        candidate -> {
                            mClosedCount++;
                            log(candidate.reason().name(), nowMillis);
                        });
    }

    private void log(String reason, long nowMillis) {
        if (nowMillis < mNextLogMillis) {
            return;
        }
        mNextLogMillis = nowMillis + LOG_INTERVAL_MILLIS;
        EventLog.write(
                "front",
                "connections.limited",
                "maximum",
                mMaximumConnections,
                "closed",
                mClosedCount,
                "reason",
                reason);
    }
}
