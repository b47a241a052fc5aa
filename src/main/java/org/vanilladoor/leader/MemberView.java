package org.vanilladoor.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.vanilladoor.common.RendezvousRanking;

/**
 * This process's view of all processes: their reports as last listed, or the lease holder's roster.
 *
 * <p>The holder of the fleet lease and the candidates for it list all reports. All other processes
 * only read the roster, so that the amount that each of them reads does not grow with the number of
 * processes. A process is live if its report changed within {@link #REPORT_EXPIRY_MILLIS} before
 * the last listing, by this VM's monotonic clock; clocks of different VMs are not compared.
 * Invariant: no process is declared dead for a period in which reports could not be listed.
 * Listings and times are passed in as arguments. Confined to the control thread.
 */
public final class MemberView {
    /**
     * Time without a new report after which a process counts as dead, and without a new heartbeat
     * after which the roster counts as expired, in milliseconds.
     */
    public static final long REPORT_EXPIRY_MILLIS = 12_000;

    /**
     * Number of processes assumed before the first listing; more than any current deployment has.
     */
    public static final int ASSUMED_PROCESSES = 50;

    /** Shortest time between the reports of a process, in milliseconds. */
    private static final long MINIMUM_REPORT_INTERVAL_MILLIS = 1_000;

    /**
     * Longest time between the reports of a process, in milliseconds. A usage window is sealed at
     * the latest six seconds after its end, so reports have to arrive before that.
     */
    private static final long MAXIMUM_REPORT_INTERVAL_MILLIS = 4_000;

    /** Report interval per live process, so that the load of the store stays bounded. */
    private static final long REPORT_INTERVAL_MILLIS_PER_PROCESS = 100;

    /**
     * Time without a listing after which an outage may have delayed reports, in milliseconds;
     * longer than the four seconds that separate listings at most.
     */
    private static final long LISTING_GAP_MILLIS = 6_000;

    /** Longest time that the write of a report takes; covers the time-out of a write. */
    private static final long REPORT_WRITE_TIMEOUT_MILLIS = 1_000;

    /** Number of candidates for the lease; enough to lose a failure domain and one more VM. */
    private static final int LEASE_CANDIDATES = 4;

    /** Retention time of reports of dead processes, whose usage may still have to be reported. */
    private static final long RETENTION_MILLIS = 60_000;

    private final String mOwnObject;
    private final Map<String, TrackedReport> mReports = new TreeMap<>();
    private final Map<String, Integer> mInitialSizes = new TreeMap<>();
    private boolean mEverListed;
    private long mListedMillis;
    private long mGaplessSinceMillis;
    private boolean mFollowsRoster;
    private Optional<Roster> mRoster = Optional.empty();
    private long mHeartbeatMillis;
    private boolean mRosterExpired;

    private MemberView(String ownObject) {
        mOwnObject = ownObject;
    }

    /**
     * Creates a view without reports.
     *
     * @param ownObject name of this process's report object
     */
    public static MemberView create(String ownObject) {
        return new MemberView(ownObject);
    }

    /** Replaces the known reports by the result of a listing. */
    public void replaceReports(Collection<ListedReport> listed, long nowMillis) {
        Map<String, ListedReport> byName = new HashMap<>();
        listed.forEach(each -> byName.put(each.objectName(), each));
        mReports.keySet().retainAll(byName.keySet());
        byName.values().forEach(each -> track(each, nowMillis));
        if (!mEverListed || nowMillis - mListedMillis > LISTING_GAP_MILLIS) {
            mGaplessSinceMillis = nowMillis;
        }
        mEverListed = true;
        mListedMillis = nowMillis;
        mFollowsRoster = false;
        mRosterExpired = false;
    }

    /** Uses the lease holder's roster instead of a listing; empty if there is no roster. */
    public void followRoster(Optional<Roster> roster, long nowMillis) {
        boolean isFirstRoster = !mFollowsRoster;
        boolean hasNewHeartbeat =
                roster.isPresent()
                        && mRoster.map(Roster::beat)
                                .filter(heartbeat -> heartbeat == roster.get().beat())
                                .isEmpty();
        if (isFirstRoster || hasNewHeartbeat) {
            mHeartbeatMillis = nowMillis;
        }
        mFollowsRoster = true;
        mRoster = roster;
        mRosterExpired = roster.isEmpty() || nowMillis - mHeartbeatMillis >= REPORT_EXPIRY_MILLIS;
    }

    /**
     * Returns whether every live process that reaches the store has had time to report since
     * listings have come without a gap. Returns false for some seconds after an outage.
     */
    public boolean isCaughtUp() {
        long gaplessMillis = mListedMillis - mGaplessSinceMillis;
        return hasListing()
                && gaplessMillis >= reportIntervalMillis() + REPORT_WRITE_TIMEOUT_MILLIS;
    }

    /** Returns whether the view is based on a listing, not on the roster. */
    public boolean hasListing() {
        return mEverListed && !mFollowsRoster;
    }

    /** Returns whether this process's next read has to be a listing rather than the roster. */
    public boolean needsListing() {
        return !mRosterExpired && isCandidate();
    }

    /** Returns the roster to publish to the other processes. */
    public Roster roster(long heartbeat) {
        return new Roster(heartbeat, liveProcesses(), candidates());
    }

    private void track(ListedReport listed, long nowMillis) {
        TrackedReport known = mReports.get(listed.objectName());
        if (known == null || known.listed().version() < listed.version()) {
            mReports.put(listed.objectName(), new TrackedReport(listed, nowMillis));
        }
    }

    /**
     * Returns the number of live processes, or {@link #ASSUMED_PROCESSES} before the first listing.
     */
    public int liveProcesses() {
        if (mFollowsRoster) {
            return mRoster.map(Roster::living).orElse(ASSUMED_PROCESSES);
        }
        return mEverListed ? Math.max(1, liveReportNames().size()) : ASSUMED_PROCESSES;
    }

    /** Returns whether {@link #liveProcesses} is a number that was counted. */
    public boolean isCounted() {
        return mFollowsRoster ? mRoster.isPresent() : mEverListed;
    }

    /**
     * Returns the interval between the reports of a process, in milliseconds.
     *
     * <p>A process that is killed loses its counts of up to one interval. The more processes there
     * are, the smaller is the share of all counts that this loses.
     */
    public long reportIntervalMillis() {
        long intervalMillis = liveProcesses() * REPORT_INTERVAL_MILLIS_PER_PROCESS;
        return Math.max(
                MINIMUM_REPORT_INTERVAL_MILLIS,
                Math.min(MAXIMUM_REPORT_INTERVAL_MILLIS, intervalMillis));
    }

    /** Returns whether this process is a candidate for the lease. */
    public boolean isCandidate() {
        if (mFollowsRoster) {
            return mRosterExpired || mRoster.orElseThrow().candidates().contains(mOwnObject);
        }
        return !mEverListed || candidates().contains(mOwnObject);
    }

    private List<String> candidates() {
        TreeSet<String> names = new TreeSet<>(liveReportNames());
        names.add(mOwnObject);
        return RendezvousRanking.rank("fleet", names).stream().limit(LEASE_CANDIDATES).toList();
    }

    /** Returns the load from all live processes, by service; empty without a listing. */
    public Map<String, ServiceLoad> loadByService() {
        Map<String, ServiceLoad> sums = new HashMap<>();
        if (mFollowsRoster) {
            return sums;
        }
        mReports.values().stream()
                .filter(this::isLive)
                .forEach(
                        tracked ->
                                tracked.listed()
                                        .report()
                                        .work()
                                        .forEach(
                                                (service, load) ->
                                                        sums.merge(
                                                                service, load, ServiceLoad::plus)));
        return sums;
    }

    /**
     * Records the number of endpoints that a service had before any was ordered, so that the next
     * lease holder finds it in this process's report.
     */
    public void recordInitialSize(String service, int size) {
        mInitialSizes.put(service, size);
    }

    /** Returns the recorded initial sizes by service. */
    public Map<String, Integer> initialSizes() {
        return Map.copyOf(mInitialSizes);
    }

    /** Returns the initial size of a service that a lease holder has reported; 0 if none has. */
    public int reportedInitialSize(String service) {
        return mReports.values().stream()
                .mapToInt(
                        tracked ->
                                tracked.listed().report().initialSizes().getOrDefault(service, 0))
                .max()
                .orElse(0);
    }

    /** Returns the requests of a usage window by team, from live and dead processes. */
    public Map<String, Long> usageByTeam(long window) {
        Map<String, Long> sums = new TreeMap<>();
        mReports.values()
                .forEach(
                        tracked ->
                                tracked.listed()
                                        .report()
                                        .usage()
                                        .getOrDefault(window, Map.of())
                                        .forEach(
                                                (team, count) ->
                                                        sums.merge(team, count, Long::sum)));
        return sums;
    }

    /** Returns whether the counts of all live processes are complete up to a wall-clock time. */
    public boolean isCompleteUntil(long wallMillis) {
        return mReports.values().stream()
                .filter(this::isLive)
                .allMatch(tracked -> tracked.listed().report().wallMillis() >= wallMillis);
    }

    /**
     * Returns the latest wall-clock time that a report states, by its VM's clock; 0 without one.
     */
    public long latestWallMillis() {
        return mReports.values().stream()
                .mapToLong(tracked -> tracked.listed().report().wallMillis())
                .max()
                .orElse(0);
    }

    /** Returns the names of reports whose retention time is over. */
    public List<String> obsoleteReports() {
        List<String> obsolete = new ArrayList<>();
        mReports.forEach(
                (object, tracked) -> {
                    if (millisWithoutReport(tracked) > RETENTION_MILLIS) {
                        obsolete.add(object);
                    }
                });
        return obsolete;
    }

    private List<String> liveReportNames() {
        return mReports.entrySet().stream()
                .filter(entry -> isLive(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * A report as listed from the store.
     *
     * @param objectName name of the object that holds it
     * @param version version of the object
     * @param report content of the report
     */
    public record ListedReport(String objectName, long version, MemberReport report) {}

    /**
     * Returns the time without a new report; time before the end of the last gap is not counted.
     */
    private long millisWithoutReport(TrackedReport tracked) {
        return mListedMillis - Math.max(tracked.firstListedMillis(), mGaplessSinceMillis);
    }

    private boolean isLive(TrackedReport tracked) {
        return millisWithoutReport(tracked) < REPORT_EXPIRY_MILLIS;
    }

    /** A report with the time at which its current version was first listed. */
    private record TrackedReport(ListedReport listed, long firstListedMillis) {}
}
