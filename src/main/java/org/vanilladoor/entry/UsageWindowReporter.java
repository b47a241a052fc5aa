package org.vanilladoor.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.order.OpenOrder;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.UsageReport;
import org.vanilladoor.usage.ReportedWatermark;
import org.vanilladoor.usage.SealedWindow;
import org.vanilladoor.usage.TeamCounts;
import org.vanilladoor.usage.UsageWindow;

/**
 * Seals and reports the usage windows of one shard while this process holds the shard's lease.
 *
 * <p>A window is sealed by creating its stored object, which never changes; only sealed figures are
 * reported. Before a window is reported, an order for it is written to the journal of the lease, so
 * that no two processes report the same window. Confined to the control thread.
 */
final class UsageWindowReporter {
    private static final Logger LOG = LogManager.getLogger(UsageWindowReporter.class);
    private static final Duration REPORT_RETRY_DELAY = Duration.ofSeconds(1);
    private static final String ORDER_TARGET_PREFIX = "window-";
    private final EntryContext mContext;
    private final LeasedScope mScope;
    private final int mShard;
    private final Map<Long, SealedWindow> mUnreported = new TreeMap<>();
    private final ReportedWatermark mWatermark;
    private long mLoadedThrough = Long.MAX_VALUE;
    private SealedWindow mLastSealed;
    private long mTerm;
    private boolean mStepRunning;

    /** Increases when the loaded windows are dropped; results of earlier steps then don't count. */
    private long mLoadGeneration;

    private UsageWindowReporter(EntryContext context, LeasedScope scope, int shard) {
        mContext = context;
        mScope = scope;
        mShard = shard;
        mWatermark = ReportedWatermark.create(context.platform(), shard);
    }

    static UsageWindowReporter create(EntryContext context, LeasedScope scope, int shard) {
        return new UsageWindowReporter(context, scope, shard);
    }

    /** Seals the next window if it is due and reports sealed windows, if the lease is held. */
    void runCycle(long nowMillis) {
        if (!mScope.orders().mayWriteOrders(nowMillis)) {
            dropWindows();
            return;
        }
        if (mTerm != mScope.orders().term()) {
            mTerm = mScope.orders().term();
            dropWindows();
        }
        long generation = mLoadGeneration;
        if (!mStepRunning && mLastSealed == null) {
            runStep(loadSealedWindows(generation));
        } else if (!mStepRunning
                && UsageWindow.maySeal(mLastSealed.window() + 1, System.currentTimeMillis())) {
            runStep(
                    collectCounts()
                            .thenComposeAsync(
                                    done -> sealNextWindow(generation),
                                    mContext.control()::execute));
        }
        writeReportOrders(nowMillis);
        mScope.orders().takeSendable(nowMillis).forEach(this::reportWindow);
    }

    private void dropWindows() {
        mLoadGeneration++;
        mLastSealed = null;
        mUnreported.clear();
    }

    private void runStep(CompletableFuture<Void> step) {
        mStepRunning = true;
        step.whenCompleteAsync(
                (done, failure) -> {
                    mStepRunning = false;
                    if (failure != null) {
                        LOG.info(
                                "usage: Loading or sealing of shard {} failed, will retry: {}.",
                                mShard,
                                failure.getMessage());
                    }
                },
                mContext.control()::execute);
    }

    /** Loads the last sealed window and the windows that may not have been reported. */
    private CompletableFuture<Void> loadSealedWindows(long generation) {
        return mWatermark
                .read()
                .thenCompose(
                        reported ->
                                mContext.platform()
                                        .list("usage/" + mShard + "/")
                                        .thenApply(
                                                names -> mWatermark.namesToRead(names, reported)))
                .thenCompose(this::readAll)
                .thenAcceptAsync(
                        windows -> onWindowsLoaded(windows, generation),
                        mContext.control()::execute);
    }

    /**
     * Reads windows one after the other.
     *
     * <p>Reading them concurrently after a long outage would use up the budget of platform calls.
     */
    private CompletableFuture<List<SealedWindow>> readAll(List<String> names) {
        CompletableFuture<List<SealedWindow>> all =
                CompletableFuture.completedFuture(new ArrayList<>());
        for (String name : names) {
            all =
                    all.thenCompose(
                            windows ->
                                    mContext.platform()
                                            .read(name)
                                            .thenApply(
                                                    found -> {
                                                        found.map(UsageWindowReporter::parse)
                                                                .ifPresent(windows::add);
                                                        return windows;
                                                    }));
        }
        return all;
    }

    private void onWindowsLoaded(List<SealedWindow> windows, long generation) {
        if (generation != mLoadGeneration) {
            return;
        }
        long current = UsageWindow.at(System.currentTimeMillis());
        mLastSealed =
                windows.isEmpty() ? SealedWindow.before(current) : windows.get(windows.size() - 1);
        windows.forEach(window -> mUnreported.put(window.window(), window));
        mLoadedThrough = lastBeforeGap(windows);
    }

    /** Returns the last window before the first gap, or {@link Long#MAX_VALUE} without a gap. */
    private static long lastBeforeGap(List<SealedWindow> windows) {
        for (int i = 1; i < windows.size(); i++) {
            if (windows.get(i).window() > windows.get(i - 1).window() + 1) {
                return windows.get(i - 1).window();
            }
        }
        return Long.MAX_VALUE;
    }

    /** Requests the counts of every live member and merges those received. */
    private CompletableFuture<Void> collectCounts() {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        String credential = mContext.settings().systemCredential();
        for (MemberRecord member : mContext.membership().live(MonotonicClock.nowMillis())) {
            if (member.name().equals(mContext.settings().name())) {
                continue;
            }
            CompletableFuture<Void> merged =
                    mContext.peerClient()
                            .call(member.peerAddress(), client -> client.readCounters(credential))
                            .handle(
                                    (batch, failure) -> {
                                        if (failure == null) {
                                            PeerMessages.mergeCounters(
                                                    batch, mContext.usageCounters());
                                        }
                                        return null;
                                    });
            all = all.thenCombine(merged, (first, second) -> null);
        }
        return all;
    }

    private CompletableFuture<Void> sealNextWindow(long generation) {
        if (generation != mLoadGeneration
                || mLastSealed == null
                || !mScope.orders().mayWriteOrders(MonotonicClock.nowMillis())) {
            return CompletableFuture.completedFuture(null);
        }
        SealedWindow next = mLastSealed.sealNext(mShard, mContext.usageCounters().snapshot());
        String name = SealedWindow.objectName(mShard, next.window());
        return mContext.platform()
                .write(name, ObjectStore.ABSENT, Json.write(next))
                .handle((version, failure) -> failure)
                .thenCompose(
                        failure ->
                                failure == null
                                        ? CompletableFuture.completedFuture(Optional.of(next))
                                        : mContext.platform()
                                                .read(name)
                                                .thenApply(
                                                        found ->
                                                                found.map(
                                                                        UsageWindowReporter
                                                                                ::parse)))
                .thenAcceptAsync(
                        found -> found.ifPresent(window -> onSealed(window, generation)),
                        mContext.control()::execute);
    }

    private void onSealed(SealedWindow window, long generation) {
        if (generation == mLoadGeneration) {
            mLastSealed = window;
            mUnreported.put(window.window(), window);
        }
    }

    private void writeReportOrders(long nowMillis) {
        for (Long window : List.copyOf(mUnreported.keySet())) {
            // Has no effect while an order for the window is open, such as one of an earlier term
            // whose report is under way.
            mScope.orders().writeOrder(ORDER_TARGET_PREFIX + window, "report", false, nowMillis);
        }
    }

    private void reportWindow(OpenOrder order) {
        long window = Long.parseLong(order.target().substring(ORDER_TARGET_PREFIX.length()));
        SealedWindow sealed = mUnreported.get(window);
        if (sealed == null) {
            mScope.orders().markSettled(order.identifier(), MonotonicClock.nowMillis());
            return;
        }
        mContext.platform()
                .listUsageReports(window)
                .thenComposeAsync(
                        alreadySent -> sendMissing(order, sealed, alreadySent),
                        mContext.control()::execute)
                .whenCompleteAsync(
                        (done, failure) -> onWindowReported(order, window, sealed, failure),
                        mContext.control()::execute);
    }

    private void onWindowReported(
            OpenOrder order, long window, SealedWindow sealed, Throwable failure) {
        if (failure == null) {
            mUnreported.remove(window);
            mScope.orders().markSettled(order.identifier(), MonotonicClock.nowMillis());
            advanceWatermark();
        } else {
            mContext.control().schedule(REPORT_RETRY_DELAY, () -> retryReport(order, sealed));
        }
    }

    /**
     * Raises the watermark to the last window that is known to be reported.
     *
     * <p>After a long outage only a part of the unreported windows was loaded; once all of these
     * are reported, this causes the next ones to be loaded.
     */
    private void advanceWatermark() {
        if (mLastSealed == null) {
            return;
        }
        long reportedThrough =
                mUnreported.isEmpty()
                        ? mLastSealed.window()
                        : mUnreported.keySet().iterator().next() - 1;
        mWatermark.advance(Math.min(reportedThrough, mLoadedThrough));
        if (reportedThrough >= mLoadedThrough && mLoadedThrough < mLastSealed.window()) {
            mLastSealed = null;
        }
    }

    /**
     * Reports a window again if that is still this process's right, or else lets the order go: no
     * call is under way, and whoever reports next reads back what has arrived.
     */
    private void retryReport(OpenOrder order, SealedWindow sealed) {
        if (mayReport(order) && mUnreported.containsKey(sealed.window())) {
            reportWindow(order);
        } else {
            mScope.orders().markSettled(order.identifier(), MonotonicClock.nowMillis());
        }
    }

    /** Returns whether the lease is held now and has not ended since the order was written. */
    private boolean mayReport(OpenOrder order) {
        return mScope.orders().mayWriteOrders(MonotonicClock.nowMillis())
                && mScope.orders().term() == order.term();
    }

    private CompletableFuture<Void> sendMissing(
            OpenOrder order, SealedWindow sealed, List<UsageReport> alreadySent) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, TeamCounts> figure : new TreeMap<>(sealed.figures()).entrySet()) {
            boolean isAlreadySent =
                    alreadySent.stream().anyMatch(each -> each.team().equals(figure.getKey()));
            if (!isAlreadySent) {
                UsageReport report =
                        new UsageReport(
                                figure.getKey(),
                                sealed.window(),
                                figure.getValue().requests(),
                                figure.getValue().promptTokens(),
                                figure.getValue().outputTokens(),
                                mContext.writerName());
                all =
                        all.thenComposeAsync(
                                done -> sendReport(order, report), mContext.control()::execute);
            }
        }
        return all;
    }

    /** Sends a report; checks the lease first, since it may have ended during earlier reports. */
    private CompletableFuture<Void> sendReport(OpenOrder order, UsageReport report) {
        if (!mayReport(order)) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("the term of the order has ended"));
        }
        return mContext.platform().sendUsageReport(report);
    }

    private static SealedWindow parse(StoredObject object) {
        return Json.read(object.content(), SealedWindow.class);
    }
}
