package org.vanilladoor.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.usage.SealedWindow;

/**
 * The tasks that only the holder of a lease carries out: role changes of the engines in a failure
 * domain, and usage reports of a shard.
 *
 * <p>The gossip-based membership only determines which processes attempt to acquire a lease; only
 * the lease itself permits a process to act. Confined to the control thread, except {@link
 * #shutDown}.
 */
final class LeaseHolderTasks {
    private static final Duration CYCLE_PERIOD = Duration.ofMillis(250);
    private static final Duration SHUTDOWN_LIMIT = Duration.ofSeconds(5);

    /** Longest time for which a lease is kept at a stop; an order's call takes at most 2.5 s. */
    private static final long OPEN_ORDER_WAIT_MILLIS = 3_000;

    private static final long SHUTDOWN_POLL_MILLIS = 20;
    private static final long LEASE_QUERY_LIMIT_SECONDS = 1;
    private static final int PREFERRED_PER_SCOPE = 2;
    private static final long MEMBERSHIP_WARM_UP_MILLIS = 5_000;
    private final ControlLoop mControl;
    private final MembershipCore mMembership;
    private final OrderWriterMonitor mOrderWriterMonitor;
    private final RoleChangeController mRoleChangeController;
    private final List<UsageWindowReporter> mUsageWindowReporters = new ArrayList<>();
    private final List<LeasedScope> mScopes = new ArrayList<>();
    private final UsageCounterReplicator mUsageCounterReplicator;
    private final long mStartedMillis = MonotonicClock.nowMillis();
    private boolean mStopping;
    private long mReleaseDeadlineMillis;

    private LeaseHolderTasks(EntryContext context) {
        mControl = context.control();
        mMembership = context.membership();
        String writerName = context.writerName();
        String domain = context.settings().failureDomain();
        LeasedScope orderScope =
                LeasedScope.start(mControl, context.platform(), "orders-" + domain, writerName);
        mScopes.add(orderScope);
        mOrderWriterMonitor = OrderWriterMonitor.start(context);
        mRoleChangeController =
                RoleChangeController.create(context, orderScope, mOrderWriterMonitor);
        for (int shard = 0; shard < SealedWindow.SHARDS; shard++) {
            LeasedScope scope =
                    LeasedScope.start(mControl, context.platform(), "usage-" + shard, writerName);
            mScopes.add(scope);
            mUsageWindowReporters.add(UsageWindowReporter.create(context, scope, shard));
        }
        mUsageCounterReplicator =
                UsageCounterReplicator.start(
                        mControl,
                        mMembership,
                        context.peerClient(),
                        context.settings().systemCredential(),
                        context.usageCounters());
    }

    static LeaseHolderTasks start(EntryContext context) {
        LeaseHolderTasks tasks = new LeaseHolderTasks(context);
        context.control().scheduleWithFixedDelay(CYCLE_PERIOD, tasks::runCycle);
        return tasks;
    }

    /** Stops sending orders of a scope; see {@link PeerHandler.OrderStopper}. */
    boolean stopSendingOrders(String scope, String incarnation, long term) {
        return mScopes.stream()
                .filter(each -> each.name().equals(scope))
                .findFirst()
                .map(each -> each.orders().stopSending(incarnation, term))
                .orElse(false);
    }

    /** Records the order that an engine reports as the last one it applied. */
    void recordAppliedOrder(String endpoint, String identifier) {
        mRoleChangeController.recordAppliedOrder(endpoint, identifier);
    }

    /** Returns all scopes, each with its lease and orders. */
    List<LeasedScope> scopes() {
        return List.copyOf(mScopes);
    }

    /**
     * Replicates the last usage counts and releases the leases.
     *
     * <p>No order is begun any more. A lease is released once the calls under it have ended and the
     * journal says so, since nobody can say after the end of this process whether they may still
     * arrive. Blocks until no lease is held any more, but not longer than {@link #SHUTDOWN_LIMIT}.
     * Must not be called by the control thread.
     */
    void shutDown() {
        mControl.execute(
                () -> {
                    mStopping = true;
                    mUsageCounterReplicator.replicateChanges();
                    long nowMillis = MonotonicClock.nowMillis();
                    mReleaseDeadlineMillis = nowMillis + OPEN_ORDER_WAIT_MILLIS;
                    releaseSettledScopes(nowMillis);
                });
        long endMillis = MonotonicClock.nowMillis() + SHUTDOWN_LIMIT.toMillis();
        while (holdsAnyLease() && MonotonicClock.nowMillis() < endMillis) {
            sleepBetweenPolls();
        }
    }

    private void runCycle() {
        long nowMillis = MonotonicClock.nowMillis();
        if (mStopping) {
            releaseSettledScopes(nowMillis);
            return;
        }
        // A process that has just started knows no other member and would rank first for every
        // scope.
        boolean isMembershipKnown = nowMillis - mStartedMillis > MEMBERSHIP_WARM_UP_MILLIS;
        String domain = mMembership.self().failureDomain();
        for (LeasedScope scope : mScopes) {
            boolean isOrderScope = scope == mScopes.get(0);
            List<String> candidates =
                    isOrderScope
                            ? mMembership.liveNames(domain, nowMillis)
                            : mMembership.live(nowMillis).stream()
                                    .map(each -> each.name())
                                    .toList();
            boolean isHeld = scope.lease().isHeld(nowMillis);
            boolean mayAcquire = isMembershipKnown && isPreferred(scope.name(), candidates);
            scope.lease().setWanted(isHeld || mayAcquire);
            mOrderWriterMonitor.settleOrdersOfStoppedWriters(scope, nowMillis);
        }
        mRoleChangeController.runCycle(nowMillis);
        mUsageWindowReporters.forEach(reporter -> reporter.runCycle(nowMillis));
    }

    private void releaseSettledScopes(long nowMillis) {
        for (LeasedScope scope : mScopes) {
            boolean isSettled = scope.orders().withdrawUnsent(nowMillis);
            boolean mayWait = nowMillis < mReleaseDeadlineMillis;
            scope.lease().setWanted(scope.lease().isHeld(nowMillis) && !isSettled && mayWait);
        }
    }

    private boolean isPreferred(String scope, List<String> candidates) {
        return RendezvousRanking.rank(scope, candidates).stream()
                .limit(PREFERRED_PER_SCOPE)
                .anyMatch(mMembership.self().name()::equals);
    }

    private boolean holdsAnyLease() {
        try {
            return mControl.submit(
                            () -> {
                                long nowMillis = MonotonicClock.nowMillis();
                                return mScopes.stream()
                                        .anyMatch(scope -> scope.lease().isHeld(nowMillis));
                            })
                    .get(LEASE_QUERY_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException | TimeoutException | CompletionException e) {
            return false;
        }
    }

    private static void sleepBetweenPolls() {
        try {
            TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
