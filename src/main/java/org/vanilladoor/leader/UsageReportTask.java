package org.vanilladoor.leader;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;

/**
 * Reports the usage of each usage window while this process holds the fleet lease.
 *
 * <p>Invariants: the counts of a window are those in its object in the store. The object is created
 * once ("sealed") and never changed, so every process that reports the window reports the same
 * counts. A window is reported only after its object exists. If the store returns from an older
 * copy, windows that may have been sealed before are not sealed again; they are reported only by
 * processes that know the sealed counts. Confined to the control thread.
 */
final class UsageReportTask {
    /** Time after a window's end by which all processes should have stored their counts. */
    private static final long COUNTS_EXPECTED_MILLIS = 1_700;

    /** Time after a window's end at which it is sealed even if counts are missing. */
    private static final long SEAL_DEADLINE_MILLIS = 6_000;

    /** Number of past windows to report; processes retain the counts of these. */
    private static final int LOOK_BACK_WINDOWS = 7;

    /** Number of past windows to report if they have no requests; older ones are late anyway. */
    private static final int EMPTY_LOOK_BACK_WINDOWS = 2;

    private static final String OBJECT_PREFIX = "usage/";
    private final ObjectStore mStore;
    private final FleetOperations mOperations;
    private final MemberView mMembers;
    private final UsageCounter mUsageCounter;
    private final LongSupplier mWallClockMillis;
    private final WriteOnceObjects mObjects;
    private final FirstWindowOfEra mFirstWindow;
    private final NavigableMap<Long, Map<String, Long>> mSealedCounts = new TreeMap<>();

    /** Windows that this process doesn't report any more. */
    private final Set<Long> mClosedWindows = new HashSet<>();

    private boolean mCallOpen;

    UsageReportTask(
            ObjectStore store,
            FleetOperations operations,
            MemberView members,
            UsageCounter usageCounter,
            LongSupplier wallMillis) {
        mStore = store;
        mOperations = operations;
        mMembers = members;
        mUsageCounter = usageCounter;
        mWallClockMillis = wallMillis;
        mObjects = new WriteOnceObjects(store);
        mFirstWindow = new FirstWindowOfEra(mObjects, usageCounter);
    }

    /** Reports the oldest window that is due, if one is. */
    void tick(FleetLease lease) {
        if (mCallOpen || !mMembers.hasListing()) {
            return;
        }
        long wallMillis = mWallClockMillis.getAsLong();
        long era = mStore.era();
        if (!mFirstWindow.isKnownIn(era)) {
            determineFirstWindow(era, wallMillis);
            return;
        }
        long currentWindow = mUsageCounter.windowAt(wallMillis);
        forgetBefore(currentWindow - 2L * LOOK_BACK_WINDOWS);
        for (long window = currentWindow - LOOK_BACK_WINDOWS; window < currentWindow; window++) {
            if (!mClosedWindows.contains(window) && beginsReport(window, era, lease)) {
                return;
            }
        }
    }

    private void forgetBefore(long firstWindow) {
        mClosedWindows.removeIf(window -> window < firstWindow);
        mSealedCounts.headMap(firstWindow).clear();
    }

    /** Begins to report a window if it is due and its counts are, or may be, sealed. */
    private boolean beginsReport(long window, long era, FleetLease lease) {
        if (mSealedCounts.containsKey(window)) {
            Map<String, Long> counts = mSealedCounts.get(window);
            reportSealed(window, CompletableFuture.completedFuture(counts), lease);
            return true;
        }
        if (!mFirstWindow.maySeal(window)) {
            skip(window, era);
            return false;
        }
        Map<String, Long> knownCounts = mMembers.usageByTeam(window);
        boolean isKnown = !knownCounts.isEmpty() || mayReportAsEmpty(window);
        if (!isDue(window) || !isKnown) {
            return false;
        }
        sealAndReport(window, knownCounts, era, lease);
        return true;
    }

    /**
     * Returns whether a window without known requests is to be reported. Requests of older windows
     * may be unknown to this process, so those windows are not reported as empty.
     */
    private boolean mayReportAsEmpty(long window) {
        long currentWindow = mUsageCounter.windowAt(mWallClockMillis.getAsLong());
        return window >= currentWindow - EMPTY_LOOK_BACK_WINDOWS && mMembers.isCaughtUp();
    }

    private boolean isDue(long window) {
        long wallMillis = mWallClockMillis.getAsLong();
        long end = mUsageCounter.windowEndMillis(window);
        boolean isComplete = mMembers.isCompleteUntil(end);
        boolean isPastDeadline = wallMillis >= end + SEAL_DEADLINE_MILLIS && mMembers.isCaughtUp();
        return isPastDeadline || (wallMillis >= end + COUNTS_EXPECTED_MILLIS && isComplete);
    }

    /** Stores or reads the first window that may be sealed in an era. */
    private void determineFirstWindow(long era, long wallMillis) {
        mCallOpen = true;
        mFirstWindow
                .determine(era, wallMillis, mMembers.latestWallMillis())
                .whenComplete(
                        (done, failure) -> {
                            mCallOpen = false;
                            if (failure != null) {
                                EventLog.write(
                                        "usage",
                                        "era.unknown",
                                        "era",
                                        era,
                                        "reason",
                                        failure.getMessage());
                            }
                        });
    }

    private void skip(long window, long era) {
        mClosedWindows.add(window);
        EventLog.write("usage", "window.skipped", "window", window, "era", era);
    }

    private void sealAndReport(long window, Map<String, Long> counts, long era, FleetLease lease) {
        CompletableFuture<Map<String, Long>> sealedCounts =
                mObjects.writeOrRead(
                                OBJECT_PREFIX + window,
                                ObjectVersion.absentIn(era),
                                Json.write(counts))
                        .thenApply(object -> decodeCounts(object.content()));
        reportSealed(window, sealedCounts, lease);
    }

    private void reportSealed(
            long window, CompletableFuture<Map<String, Long>> sealedCounts, FleetLease lease) {
        mCallOpen = true;
        sealedCounts
                .thenCompose(
                        counts -> {
                            mSealedCounts.put(window, counts);
                            return report(window, counts, lease);
                        })
                .whenComplete(
                        (done, failure) -> {
                            mCallOpen = false;
                            if (isUnreadable(failure)) {
                                // It stays unreadable, and later windows wait for this one.
                                mClosedWindows.add(window);
                            }
                            if (failure != null) {
                                EventLog.write(
                                        "usage",
                                        "window.unreported",
                                        "window",
                                        window,
                                        "reason",
                                        failure.getMessage());
                            }
                        });
    }

    private static Map<String, Long> decodeCounts(byte[] content) {
        Map<String, Long> counts = Json.read(content, new TypeReference<Map<String, Long>>() {});
        if (counts.containsValue(null)) {
            throw new UncheckedIOException(new IOException("a count is null"));
        }
        return new TreeMap<>(counts);
    }

    private static boolean isUnreadable(Throwable failure) {
        return failure instanceof CompletionException
                && failure.getCause() instanceof UncheckedIOException;
    }

    private CompletableFuture<Void> report(
            long window, Map<String, Long> counts, FleetLease lease) {
        return lease.call("usage", permit -> mOperations.reportUsage(window, counts, permit))
                .thenAccept(
                        done -> {
                            mClosedWindows.add(window);
                            EventLog.write(
                                    "usage",
                                    "window.reported",
                                    "window",
                                    window,
                                    "teams",
                                    counts.size(),
                                    "term",
                                    lease.term());
                        });
    }
}
