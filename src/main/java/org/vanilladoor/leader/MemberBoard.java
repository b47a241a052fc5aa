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
 * What this process knows of the others: their reports as last listed, or the holder's roster.
 *
 * <p>The holder of the fleet's lease and those who stand by list all reports; the others only
 * follow the roster, so that what each process reads does not grow with their number. A process
 * lives if its report changed within a while before the last listing, by this VM's monotonic clock;
 * no clocks are compared. Invariant: nobody is given up while nothing can be listed. Listings go
 * in; belongs to the control thread.
 */
public final class MemberBoard {
    /** Time without a new report after which a process counts as gone, in milliseconds. */
    public static final long SILENT_MILLIS = 12_000;

    /**
     * Number of processes to reckon with before any are known; more than a deployment has today.
     */
    public static final int UNKNOWN = 50;

    /** Shortest time between the reports of a process, in milliseconds. */
    private static final long LEAST_INTERVAL_MILLIS = 1_000;

    /**
     * Longest time between them; a usage window is sealed six seconds after its end at the latest.
     */
    private static final long MOST_INTERVAL_MILLIS = 4_000;

    /** Time between reports for each living process, so that the store's load stops growing. */
    private static final long INTERVAL_MILLIS_PER_PROCESS = 100;

    /**
     * Time without a listing after which reports may have been held back by an outage; beyond the
     * four seconds that lie between listings at most.
     */
    private static final long GAP_MILLIS = 6_000;

    /**
     * Time that a report takes beyond its interval, in milliseconds; a write's longest time-out.
     */
    private static final long REPORTED_MILLIS = 1_000;

    /** Processes that stand by for the lease; enough for a failure domain and a VM to be lost. */
    private static final int CANDIDATES = 4;

    /** Time for which reports of gone processes are kept; their usage is still to be reported. */
    private static final long KEPT_MILLIS = 60_000;

    private final String mOwnObject;
    private final Map<String, Entry> mEntries = new TreeMap<>();
    private boolean mListed;
    private long mListedMillis;
    private long mListingsSinceMillis;
    private boolean mFollowing;
    private Optional<Roster> mRoster = Optional.empty();
    private long mBeatMillis;
    private boolean mRosterSilent;

    private MemberBoard(String ownObject) {
        mOwnObject = ownObject;
    }

    /**
     * Returns a board without reports.
     *
     * @param ownObject name of this process's report
     */
    public static MemberBoard create(String ownObject) {
        return new MemberBoard(ownObject);
    }

    /** Takes in all reports. */
    public void list(Collection<Listed> listed, long nowMillis) {
        Map<String, Listed> byName = new HashMap<>();
        listed.forEach(each -> byName.put(each.object(), each));
        mEntries.keySet().retainAll(byName.keySet());
        byName.values().forEach(each -> take(each, nowMillis));
        if (!mListed || nowMillis - mListedMillis > GAP_MILLIS) {
            mListingsSinceMillis = nowMillis;
        }
        mListed = true;
        mListedMillis = nowMillis;
        mFollowing = false;
        mRosterSilent = false;
    }

    /** Takes in the holder's roster in place of a listing; empty if there is none. */
    public void follow(Optional<Roster> roster, long nowMillis) {
        boolean first = !mFollowing;
        boolean beats =
                roster.isPresent()
                        && mRoster.map(Roster::beat)
                                .filter(beat -> beat == roster.get().beat())
                                .isEmpty();
        if (first || beats) {
            mBeatMillis = nowMillis;
        }
        mFollowing = true;
        mRoster = roster;
        mRosterSilent = roster.isEmpty() || nowMillis - mBeatMillis >= SILENT_MILLIS;
    }

    /**
     * Returns whether every process that lives and reaches the store has had time to report since
     * listings came without a gap; after an outage that takes a moment.
     */
    public boolean isSettled() {
        long listed = mListedMillis - mListingsSinceMillis;
        return isListed() && listed >= reportIntervalMillis() + REPORTED_MILLIS;
    }

    /** Returns whether a listing is at hand, not only the roster. */
    public boolean isListed() {
        return mListed && !mFollowing;
    }

    /** Returns whether this process has to list all reports once it looks again. */
    public boolean needsListing() {
        return !mRosterSilent && isCandidate();
    }

    /** Returns the roster to tell the others. */
    public Roster roster(long beat) {
        return new Roster(beat, living(), candidates());
    }

    private void take(Listed listed, long nowMillis) {
        Entry before = mEntries.get(listed.object());
        if (before == null || before.listed().version() < listed.version()) {
            mEntries.put(listed.object(), new Entry(listed, nowMillis));
        }
    }

    /** Returns how many processes live, or {@link #UNKNOWN} before the first listing. */
    public int living() {
        if (mFollowing) {
            return mRoster.map(Roster::living).orElse(UNKNOWN);
        }
        return mListed ? Math.max(1, livingNames().size()) : UNKNOWN;
    }

    /**
     * Returns how long a process waits between its reports, in milliseconds.
     *
     * <p>A kill loses the counts of that long, which is a smaller part of all the more there are.
     */
    public long reportIntervalMillis() {
        long wanted = living() * INTERVAL_MILLIS_PER_PROCESS;
        return Math.max(LEAST_INTERVAL_MILLIS, Math.min(MOST_INTERVAL_MILLIS, wanted));
    }

    /** Returns whether this process is one of those that stand by for the lease. */
    public boolean isCandidate() {
        if (mFollowing) {
            return mRosterSilent || mRoster.orElseThrow().candidates().contains(mOwnObject);
        }
        return !mListed || candidates().contains(mOwnObject);
    }

    private List<String> candidates() {
        TreeSet<String> names = new TreeSet<>(livingNames());
        names.add(mOwnObject);
        return RendezvousRanking.rank("fleet", names).stream().limit(CANDIDATES).toList();
    }

    /** Returns the work of all living processes, by service; nothing without a listing. */
    public Map<String, Work> work() {
        Map<String, Work> sums = new HashMap<>();
        if (mFollowing) {
            return sums;
        }
        mEntries.values().stream()
                .filter(this::isLiving)
                .forEach(
                        entry ->
                                entry.listed()
                                        .report()
                                        .work()
                                        .forEach(
                                                (service, work) ->
                                                        sums.merge(service, work, Work::plus)));
        return sums;
    }

    /** Returns the requests of a window by team, of all processes that are or were. */
    public Map<String, Long> usage(long window) {
        Map<String, Long> sums = new TreeMap<>();
        mEntries.values()
                .forEach(
                        entry ->
                                entry.listed()
                                        .report()
                                        .usage()
                                        .getOrDefault(window, Map.of())
                                        .forEach(
                                                (team, count) ->
                                                        sums.merge(team, count, Long::sum)));
        return sums;
    }

    /** Returns whether the counts of all living processes go beyond a wall time. */
    public boolean isComplete(long wallMillis) {
        return mEntries.values().stream()
                .filter(this::isLiving)
                .allMatch(entry -> entry.listed().report().wallMillis() >= wallMillis);
    }

    /** Returns the objects of processes that have been gone for long. */
    public List<String> obsolete() {
        List<String> obsolete = new ArrayList<>();
        mEntries.forEach(
                (object, entry) -> {
                    if (silentMillis(entry) > KEPT_MILLIS) {
                        obsolete.add(object);
                    }
                });
        return obsolete;
    }

    private List<String> livingNames() {
        return mEntries.entrySet().stream()
                .filter(entry -> isLiving(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * A report in the store.
     *
     * @param object name of its object
     * @param version version of the object
     * @param report what it says
     */
    public record Listed(String object, long version, MemberReport report) {}

    /** Silence counts from the last gap in the listings on: nobody could be heard before. */
    private long silentMillis(Entry entry) {
        return mListedMillis - Math.max(entry.changedMillis(), mListingsSinceMillis);
    }

    private boolean isLiving(Entry entry) {
        return silentMillis(entry) < SILENT_MILLIS;
    }

    /** A report with the time at which its version was first seen. */
    private record Entry(Listed listed, long changedMillis) {}
}
