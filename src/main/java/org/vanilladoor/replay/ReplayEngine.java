package org.vanilladoor.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineModel;
import org.vanilladoor.provider.EndpointDescription;

/**
 * An engine of a replay with its lagging reports.
 *
 * <p>Not safe for use by several threads.
 */
final class ReplayEngine {
    private final EndpointDescription mDescription;
    private final EngineModel mModel;
    private final Deque<Dated> mReports = new ArrayDeque<>();
    private boolean mLeaving;
    private boolean mGone;
    private long mGoneAtMillis = Long.MAX_VALUE;
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

    boolean isGone() {
        return mGone;
    }

    int roleChanges() {
        return mRoleChanges;
    }

    void countRoleChange() {
        mRoleChanges++;
    }

    void reclaim(long goneAtMillis) {
        mLeaving = true;
        mGoneAtMillis = goneAtMillis;
    }

    void lose() {
        mGone = true;
        mModel.abortAll();
    }

    void advanceTo(long nowMillis) {
        if (!mGone) {
            mModel.advanceTo(nowMillis);
            if (nowMillis >= mGoneAtMillis) {
                lose();
            }
        }
    }

    void takeReport(long nowMillis) {
        mReports.addLast(
                new Dated(
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

    /** Returns the youngest report that is at least so old, or null before the first one. */
    LoadReport report(long nowMillis, long lagMillis) {
        while (mReports.size() > 1 && secondTaken() <= nowMillis - lagMillis) {
            mReports.removeFirst();
        }
        return mReports.isEmpty() ? null : mReports.getFirst().report();
    }

    private long secondTaken() {
        var reports = mReports.iterator();
        reports.next();
        return reports.next().takenMillis();
    }

    private record Dated(long takenMillis, LoadReport report) {}
}
