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
 * Seals and reports the usage windows of one shard, while this process holds the lease.
 *
 * <p>A window's figures are sealed by creating its object; only what is sealed is reported. The
 * right to report a window is an order in the journal of the lease, so that no two processes report
 * the same window. Belongs to the control thread.
 */
final class UsageDuty {
    private static final Logger LOG = LogManager.getLogger(UsageDuty.class);
    private static final String TARGET = "window-";
    private final EntryContext mContext;
    private final LeasedScope mScope;
    private final int mShard;
    private final Map<Long, SealedWindow> mUnreported = new TreeMap<>();
    private final ReportedWatermark mReported;
    private long mLoadedThrough = Long.MAX_VALUE;
    private SealedWindow mLast;
    private long mTerm;
    private boolean mBusy;

    private UsageDuty(EntryContext context, LeasedScope scope, int shard) {
        mContext = context;
        mScope = scope;
        mShard = shard;
        mReported = ReportedWatermark.create(context.platform(), shard);
    }

    static UsageDuty create(EntryContext context, LeasedScope scope, int shard) {
        return new UsageDuty(context, scope, shard);
    }

    /** Does what is to be done now. */
    void round(long nowMillis) {
        if (!mScope.orders().mayWriteOrders(nowMillis)) {
            mLast = null;
            mUnreported.clear();
            return;
        }
        if (mTerm != mScope.orders().term()) {
            mTerm = mScope.orders().term();
            mLast = null;
            mUnreported.clear();
        }
        if (!mBusy && mLast == null) {
            run(load());
        } else if (!mBusy && UsageWindow.maySeal(mLast.window() + 1, System.currentTimeMillis())) {
            run(collect().thenComposeAsync(done -> seal(), mContext.control()::execute));
        }
        askForRights(nowMillis);
        mScope.orders().takeSendable(nowMillis).forEach(this::report);
    }

    private void run(CompletableFuture<Void> step) {
        mBusy = true;
        step.whenCompleteAsync(
                (done, failure) -> {
                    mBusy = false;
                    if (failure != null) {
                        LOG.info("usage: Shard {} waits: {}.", mShard, failure.getMessage());
                    }
                },
                mContext.control()::execute);
    }

    /** Finds the last sealed window and those that may not have been reported. */
    private CompletableFuture<Void> load() {
        return mReported
                .read()
                .thenCompose(
                        reported ->
                                mContext.platform()
                                        .list("usage/" + mShard + "/")
                                        .thenApply(names -> mReported.namesToRead(names, reported)))
                .thenCompose(this::readAll)
                .thenAcceptAsync(this::loaded, mContext.control()::execute);
    }

    /** Reads one after the other, so that a long outage does not use up the call budget at once. */
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
                                                        found.map(UsageDuty::parse)
                                                                .ifPresent(windows::add);
                                                        return windows;
                                                    }));
        }
        return all;
    }

    private void loaded(List<SealedWindow> windows) {
        long current = UsageWindow.at(System.currentTimeMillis());
        mLast = windows.isEmpty() ? SealedWindow.before(current) : windows.get(windows.size() - 1);
        windows.forEach(window -> mUnreported.put(window.window(), window));
        mLoadedThrough = contiguous(windows);
    }

    /** Returns the last window before a gap, or a window that never comes if there is none. */
    private static long contiguous(List<SealedWindow> windows) {
        for (int i = 1; i < windows.size(); i++) {
            if (windows.get(i).window() > windows.get(i - 1).window() + 1) {
                return windows.get(i - 1).window();
            }
        }
        return Long.MAX_VALUE;
    }

    /** Asks every member for the counts it has. */
    private CompletableFuture<Void> collect() {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        String credential = mContext.settings().systemCredential();
        for (MemberRecord member : mContext.membership().live(MonotonicClock.nowMillis())) {
            if (member.name().equals(mContext.settings().name())) {
                continue;
            }
            CompletableFuture<Void> answer =
                    mContext.peers()
                            .call(member.peerAddress(), client -> client.readCounters(credential))
                            .handle(
                                    (batch, failure) -> {
                                        if (failure == null) {
                                            PeerMessages.merge(batch, mContext.counters());
                                        }
                                        return null;
                                    });
            all = all.thenCombine(answer, (first, second) -> null);
        }
        return all;
    }

    private CompletableFuture<Void> seal() {
        if (mLast == null || !mScope.orders().mayWriteOrders(MonotonicClock.nowMillis())) {
            return CompletableFuture.completedFuture(null);
        }
        SealedWindow next = mLast.sealNext(mShard, mContext.counters().snapshot());
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
                                                .thenApply(found -> found.map(UsageDuty::parse)))
                .thenAcceptAsync(
                        found ->
                                found.ifPresent(
                                        window -> {
                                            mLast = window;
                                            mUnreported.put(window.window(), window);
                                        }),
                        mContext.control()::execute);
    }

    private void askForRights(long nowMillis) {
        settleOwnEarlierRights(nowMillis);
        for (Long window : List.copyOf(mUnreported.keySet())) {
            boolean mine =
                    mScope.orders()
                            .journal()
                            .openFor(TARGET + window)
                            .filter(order -> order.writer().equals(mContext.writerName()))
                            .filter(order -> order.term() == mTerm)
                            .isPresent();
            if (!mine) {
                mScope.orders().writeOrder(TARGET + window, "report", false, nowMillis);
            }
        }
    }

    /**
     * What this process was allowed to report in an earlier term it reads back and completes now.
     */
    private void settleOwnEarlierRights(long nowMillis) {
        for (OpenOrder right : mScope.orders().journal().open()) {
            if (right.writer().equals(mContext.writerName()) && right.term() < mTerm) {
                mScope.orders().markSettled(right.identifier(), nowMillis);
            }
        }
    }

    private void report(OpenOrder right) {
        long window = Long.parseLong(right.target().substring(TARGET.length()));
        SealedWindow sealed = mUnreported.get(window);
        if (sealed == null) {
            mScope.orders().markSettled(right.identifier(), MonotonicClock.nowMillis());
            return;
        }
        mContext.platform()
                .listUsageReports(window)
                .thenComposeAsync(
                        present -> sendMissing(sealed, present), mContext.control()::execute)
                .whenCompleteAsync(
                        (done, failure) -> reported(right, window, sealed, failure),
                        mContext.control()::execute);
    }

    private void reported(OpenOrder right, long window, SealedWindow sealed, Throwable failure) {
        if (failure == null) {
            mUnreported.remove(window);
            mScope.orders().markSettled(right.identifier(), MonotonicClock.nowMillis());
            markReported();
        } else if (mScope.orders().mayWriteOrders(MonotonicClock.nowMillis())
                && mTerm == right.term()) {
            // The right is still this process's own; what is missing is found by reading again.
            mContext.control().schedule(Duration.ofSeconds(1), () -> retry(right, sealed));
        }
    }

    /** Moves the mark, and loads further windows if a long outage left more than were looked at. */
    private void markReported() {
        if (mLast == null) {
            return;
        }
        long through =
                mUnreported.isEmpty() ? mLast.window() : mUnreported.keySet().iterator().next() - 1;
        mReported.advance(Math.min(through, mLoadedThrough));
        if (through >= mLoadedThrough && mLoadedThrough < mLast.window()) {
            mLast = null;
        }
    }

    private void retry(OpenOrder right, SealedWindow sealed) {
        boolean own =
                mScope.orders().mayWriteOrders(MonotonicClock.nowMillis()) && mTerm == right.term();
        if (own && mUnreported.containsKey(sealed.window())) {
            report(right);
        }
    }

    private CompletableFuture<Void> sendMissing(SealedWindow sealed, List<UsageReport> present) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, TeamCounts> figure : new TreeMap<>(sealed.figures()).entrySet()) {
            boolean reported =
                    present.stream().anyMatch(each -> each.team().equals(figure.getKey()));
            if (!reported) {
                UsageReport report =
                        new UsageReport(
                                figure.getKey(),
                                sealed.window(),
                                figure.getValue().requests(),
                                figure.getValue().promptTokens(),
                                figure.getValue().outputTokens(),
                                mContext.writerName());
                all = all.thenComposeAsync(done -> send(report), mContext.control()::execute);
            }
        }
        return all;
    }

    /** The lease is checked before each report, since reports take their time. */
    private CompletableFuture<Void> send(UsageReport report) {
        if (!mScope.orders().mayWriteOrders(MonotonicClock.nowMillis())) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("the lease is not held"));
        }
        return mContext.platform().sendUsageReport(report);
    }

    private static SealedWindow parse(StoredObject object) {
        return Json.read(object.content(), SealedWindow.class);
    }
}
