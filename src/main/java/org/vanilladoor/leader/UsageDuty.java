package org.vanilladoor.leader;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Reports the usage of each window, under the fleet's lease.
 *
 * <p>Invariants: a window's figures are those of its object, which is created once and never
 * changed, so whoever reports gives the same figures; nothing is reported before its object is
 * there. Belongs to the control thread.
 */
final class UsageDuty {
    /** Time after a window's end at which the counts of all processes should be in the store. */
    private static final long SETTLE_MILLIS = 1_700;

    /** Time after a window's end at which it is sealed, whoever has not said all. */
    private static final long LATEST_MILLIS = 6_000;

    /** Windows that are looked back to, as far as processes keep their counts. */
    private static final int LOOK_BACK = 7;

    /** Windows that are looked back to for those without requests; older ones are late anyway. */
    private static final int EMPTY_LOOK_BACK = 2;

    private static final String KIND = "usage/";
    private final ObjectStore mStore;
    private final FleetOperations mOrders;
    private final MemberBoard mBoard;
    private final UsageLedger mLedger;
    private final LongSupplier mWallMillis;
    private final Set<Long> mReported = new HashSet<>();
    private boolean mBusy;

    UsageDuty(
            ObjectStore store,
            FleetOperations orders,
            MemberBoard board,
            UsageLedger ledger,
            LongSupplier wallMillis) {
        mStore = store;
        mOrders = orders;
        mBoard = board;
        mLedger = ledger;
        mWallMillis = wallMillis;
    }

    /** Reports the oldest window that is due, if one is. */
    void pulse(FleetLease lease) {
        if (mBusy || !mBoard.isListed()) {
            return;
        }
        long wall = mWallMillis.getAsLong();
        long current = mLedger.windowAt(wall);
        mReported.removeIf(window -> window < current - 2L * LOOK_BACK);
        for (long window = current - LOOK_BACK; window < current; window++) {
            if (!mReported.contains(window) && isDue(window, wall)) {
                Map<String, Long> counts = mBoard.usage(window);
                if (!counts.isEmpty() || mayBeEmpty(window, current)) {
                    seal(window, counts, lease);
                    return;
                }
            }
        }
    }

    /** A window without requests is due as well; what began long ago may be unknown here. */
    private boolean mayBeEmpty(long window, long current) {
        return window >= current - EMPTY_LOOK_BACK && mBoard.isSettled();
    }

    private boolean isDue(long window, long wallMillis) {
        long end = mLedger.endMillis(window);
        boolean complete = mBoard.isComplete(end);
        boolean latest = wallMillis >= end + LATEST_MILLIS && mBoard.isSettled();
        return latest || (wallMillis >= end + SETTLE_MILLIS && complete);
    }

    private void seal(long window, Map<String, Long> counts, FleetLease lease) {
        mBusy = true;
        String object = KIND + window;
        mStore.write(object, ObjectStore.ABSENT, Json.write(counts))
                .handle(
                        (version, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(counts)
                                        : figuresOf(object, failure))
                .thenCompose(future -> future)
                .thenCompose(figures -> report(window, figures, lease))
                .whenComplete(
                        (done, failure) -> {
                            mBusy = false;
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

    /** Returns the figures that somebody has sealed, if the write failed for that. */
    private CompletableFuture<Map<String, Long>> figuresOf(String object, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof VersionConflictException)) {
            return CompletableFuture.failedFuture(cause);
        }
        return mStore.read(object)
                .thenApply(
                        found ->
                                found.map(StoredObject::content)
                                        .map(UsageDuty::figures)
                                        .orElseThrow(() -> new VersionConflictException(object)));
    }

    private static Map<String, Long> figures(byte[] content) {
        return new TreeMap<>(Json.read(content, new TypeReference<Map<String, Long>>() {}));
    }

    private CompletableFuture<Void> report(
            long window, Map<String, Long> counts, FleetLease lease) {
        if (!lease.isHeld()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the lease is lost"));
        }
        return mOrders.reportUsage(window, counts, lease.authority())
                .thenAccept(
                        done -> {
                            mReported.add(window);
                            EventLog.write(
                                    "usage",
                                    "window.reported",
                                    "window",
                                    window,
                                    "teams",
                                    counts.size(),
                                    "term",
                                    lease.authority().term());
                        });
    }
}
