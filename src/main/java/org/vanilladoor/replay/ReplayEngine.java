package org.vanilladoor.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineModel;
import org.vanilladoor.provider.EndpointDescription;

/**
 * A simulated engine of a replay, with the load reports that it has made.
 *
 * <p>Not safe for use by several threads.
 */
final class ReplayEngine {
    private final EndpointDescription mDescription;
    private final EngineModel mModel;
    private final Deque<TimedLoadReport> mLoadReports = new ArrayDeque<>();
    private boolean mLeaving;
    private boolean mTerminated;
    private long mTerminationMillis = Long.MAX_VALUE;
    private int mRoleChanges;

    private ReplayEngine(EndpointDescription description, EngineModel model) {
        mDescription = description;
        mModel = model;
    }

    static ReplayEngine create(EndpointDescription description, EngineModel model) {
        return new ReplayEngine(description, model);
    }

    EndpointDescription description() {
        return mDescription;
    }

    EngineModel model() {
        return mModel;
    }

    boolean isTerminated() {
        return mTerminated;
    }

    int roleChanges() {
        return mRoleChanges;
    }

    void incrementRoleChanges() {
        mRoleChanges++;
    }

    /** Marks the engine as leaving and terminates it at the given time. */
    void scheduleTermination(long terminationMillis) {
        mLeaving = true;
        mTerminationMillis = terminationMillis;
    }

    /** Stops the engine permanently and aborts its requests. */
    void terminate() {
        mTerminated = true;
        mModel.abortAll();
    }

    void advanceTo(long nowMillis) {
        if (!mTerminated) {
            mModel.advanceTo(nowMillis);
            if (nowMillis >= mTerminationMillis) {
                terminate();
            }
        }
    }

    /** Adds a report of the present load. */
    void recordLoad(long nowMillis) {
        mLoadReports.addLast(
                new TimedLoadReport(
                        nowMillis,
                        new LoadReport(
                                mModel.role(),
                                mModel.isChanging(),
                                mModel.requests(),
                                mModel.waitingPromptTokens(),
                                mModel.profile().maximumStreams(),
                                "",
                                mLeaving)));
    }

    /**
     * Returns the newest report that is at least {@code lagMillis} old, else the oldest one, or
     * null if there is none. Drops the reports before it.
     */
    LoadReport laggedReport(long nowMillis, long lagMillis) {
        while (mLoadReports.size() > 1 && secondReportMillis() <= nowMillis - lagMillis) {
            mLoadReports.removeFirst();
        }
        return mLoadReports.isEmpty() ? null : mLoadReports.getFirst().report();
    }

    private long secondReportMillis() {
        var reports = mLoadReports.iterator();
        reports.next();
        return reports.next().atMillis();
    }

    private record TimedLoadReport(long atMillis, LoadReport report) {}
}
