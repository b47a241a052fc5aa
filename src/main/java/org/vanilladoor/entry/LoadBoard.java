package org.vanilladoor.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.generated.LoadDigest;

/**
 * The latest load of each endpoint, whoever asked for it.
 *
 * <p>Invariant: of two reports of an endpoint the younger one stays. Belongs to the control thread.
 */
final class LoadBoard {
    private static final int PASSED_ON_MILLIS = 1_500;
    private final Map<String, Dated> mReports = new TreeMap<>();
    private final Listener mListener;

    private LoadBoard(Listener listener) {
        mListener = listener;
    }

    /** Returns an empty board that tells the listener of each younger report. */
    static LoadBoard create(Listener listener) {
        return new LoadBoard(listener);
    }

    void put(String endpoint, LoadReport report, long takenMillis) {
        Dated before = mReports.get(endpoint);
        if (before == null || takenMillis > before.takenMillis()) {
            mReports.put(endpoint, new Dated(report, takenMillis));
            mListener.reported(endpoint, report, takenMillis);
        }
    }

    void merge(List<LoadDigest> digests, long nowMillis) {
        for (LoadDigest digest : digests) {
            long taken = nowMillis - Math.max(0, digest.getAgeMillis());
            put(digest.getEndpoint(), PeerMessages.report(digest), taken);
        }
    }

    /** Returns the reports young enough to be passed on. */
    List<LoadDigest> fresh(long nowMillis) {
        List<LoadDigest> fresh = new ArrayList<>();
        mReports.forEach(
                (endpoint, dated) -> {
                    int age = (int) (nowMillis - dated.takenMillis());
                    if (age < PASSED_ON_MILLIS) {
                        fresh.add(PeerMessages.digest(endpoint, age, dated.report()));
                    }
                });
        return fresh;
    }

    long ageMillis(String endpoint, long nowMillis) {
        Dated dated = mReports.get(endpoint);
        return dated == null ? Long.MAX_VALUE : nowMillis - dated.takenMillis();
    }

    void retain(Set<String> endpoints) {
        mReports.keySet().retainAll(endpoints);
    }

    /** Is told of each younger report. */
    interface Listener {
        /** Takes a report with its time on the monotonic clock. */
        void reported(String endpoint, LoadReport report, long takenMillis);
    }

    /** A report with the time at which it was taken. */
    private record Dated(LoadReport report, long takenMillis) {}
}
