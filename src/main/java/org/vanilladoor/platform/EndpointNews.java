package org.vanilladoor.platform;

import org.vanilladoor.common.EventLog;
import org.vanilladoor.fleet.RequestLimits;
import org.vanilladoor.quarantine.CrashReportExchange;
import org.vanilladoor.quarantine.PromptQuarantine;

/**
 * What the VMs tell each other about endpoints: evidence about prompts that crash engines, and
 * limits that have ended.
 *
 * <p>Invariant: nothing is read or written while there is no news, apart from one listing at the
 * start. Confined to the control thread.
 */
final class EndpointNews implements EndpointFeed.NewsListener {
    private final EndpointMarks mMarks;
    private final RequestLimits mLimits;
    private final CrashReportExchange mCrashReports;

    private EndpointNews(
            EndpointMarks marks, RequestLimits limits, CrashReportExchange crashReports) {
        mMarks = marks;
        mLimits = limits;
        mCrashReports = crashReports;
    }

    /**
     * Returns news that begin with a listing of the other VMs' evidence.
     *
     * @param store holds the evidence and the entries of the endpoints
     * @param vmName name of this VM
     * @param incarnation identifier of this run of the process
     * @param quarantine evidence about prompt parts
     * @param limits limits that endpoints state
     */
    static EndpointNews create(
            ObjectClient store,
            String vmName,
            String incarnation,
            PromptQuarantine quarantine,
            RequestLimits limits) {
        EndpointMarks marks = EndpointMarks.create(store, incarnation);
        CrashReportExchange crashReports =
                CrashReportExchange.create(
                        quarantine,
                        store,
                        store,
                        engine -> marks.set(EndpointMarks.Kind.CRASHED, engine),
                        vmName);
        return new EndpointNews(marks, limits, crashReports);
    }

    /** Returns the marks on the endpoints' entries. */
    EndpointMarks marks() {
        return mMarks;
    }

    /** Returns the exchange of the evidence about prompt parts. */
    CrashReportExchange crashReports() {
        return mCrashReports;
    }

    /** Sends and reads the news that are due; to be called several times a second. */
    void tick(long nowMillis) {
        mCrashReports.tick(nowMillis);
        mLimits.takeEndedToAnnounce(nowMillis).forEach(this::announceEnd);
    }

    private void announceEnd(String endpoint) {
        mMarks.set(EndpointMarks.Kind.LIMIT_ENDED, endpoint)
                .whenComplete(
                        (done, failure) ->
                                EventLog.write(
                                        "endpoints",
                                        "limit.end_announced",
                                        "endpoint",
                                        endpoint,
                                        "done",
                                        failure == null));
    }

    @Override
    public void onCrashSuspected() {
        mCrashReports.requestRead();
    }

    @Override
    public void onLimitEnded(String endpoint) {
        mLimits.endLimit(endpoint);
    }
}
