package org.vanilladoor.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.generated.LoadDigest;

/**
 * The latest load report of each endpoint, whether polled by this process or received from a peer.
 *
 * <p>Invariant: of two reports of an endpoint the newer one is retained. Time is passed in as an
 * argument. Confined to the control thread.
 */
final class LoadTable {
    private static final int MAXIMUM_GOSSIPED_AGE_MILLIS = 1_500;
    private final Map<String, TimedReport> mReports = new TreeMap<>();
    private final Listener mListener;

    private LoadTable(Listener listener) {
        mListener = listener;
    }

    /** Returns an empty table that passes each newer report to the listener. */
    static LoadTable create(Listener listener) {
        return new LoadTable(listener);
    }

    /**
     * Stores a report unless a newer one of the endpoint is present.
     *
     * @param takenMillis monotonic time at which the report was requested
     */
    void putIfNewer(String endpoint, LoadReport report, long takenMillis) {
        TimedReport previous = mReports.get(endpoint);
        if (previous == null || takenMillis > previous.takenMillis()) {
            mReports.put(endpoint, new TimedReport(report, takenMillis));
            mListener.onNewerReport(endpoint, report, takenMillis);
        }
    }

    /** Stores the reports received from a peer, as far as they are newer. */
    void mergeDigests(List<LoadDigest> digests, long nowMillis) {
        for (LoadDigest digest : digests) {
            long takenMillis = nowMillis - Math.max(0, digest.getAgeMillis());
            putIfNewer(digest.getEndpoint(), PeerMessages.toLoadReport(digest), takenMillis);
        }
    }

    /** Returns the reports that are recent enough to be sent to peers. */
    List<LoadDigest> recentDigests(long nowMillis) {
        List<LoadDigest> recent = new ArrayList<>();
        mReports.forEach(
                (endpoint, timed) -> {
                    int ageMillis = (int) (nowMillis - timed.takenMillis());
                    if (ageMillis < MAXIMUM_GOSSIPED_AGE_MILLIS) {
                        recent.add(PeerMessages.toLoadDigest(endpoint, ageMillis, timed.report()));
                    }
                });
        return recent;
    }

    /** Returns the age of an endpoint's report, or {@link Long#MAX_VALUE} if there is none. */
    long ageMillis(String endpoint, long nowMillis) {
        TimedReport timed = mReports.get(endpoint);
        return timed == null ? Long.MAX_VALUE : nowMillis - timed.takenMillis();
    }

    /** Removes the reports of all other endpoints. */
    void retainOnly(Set<String> endpoints) {
        mReports.keySet().retainAll(endpoints);
    }

    /** Receives each report that is newer than the previous one of its endpoint. */
    interface Listener {
        /**
         * Called after a report was stored.
         *
         * @param takenMillis monotonic time at which the report was requested
         */
        void onNewerReport(String endpoint, LoadReport report, long takenMillis);
    }

    /** A report with the monotonic time at which it was requested. */
    private record TimedReport(LoadReport report, long takenMillis) {}
}
