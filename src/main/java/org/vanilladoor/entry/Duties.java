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
 * What this process does under leases: orders of its failure domain and usage reports.
 *
 * <p>Membership only says who tries first; the leases say who may. Belongs to the control thread
 * but for {@link #handOver}.
 */
final class Duties {
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final Duration HAND_OVER_LIMIT = Duration.ofSeconds(5);
    private static final int CANDIDATES = 2;
    private static final long UNSETTLED_MILLIS = 5_000;
    private final ControlLoop mControl;
    private final MembershipCore mMembership;
    private final WriterWatch mWriters;
    private final OrderDuty mOrders;
    private final List<UsageDuty> mUsage = new ArrayList<>();
    private final List<LeasedScope> mScopes = new ArrayList<>();
    private final CounterCopier mCopier;
    private final long mStartedMillis = MonotonicClock.nowMillis();
    private boolean mStopping;

    private Duties(EntryContext context) {
        mControl = context.control();
        mMembership = context.membership();
        String self = context.writerName();
        String domain = context.settings().failureDomain();
        LeasedScope orderScope =
                LeasedScope.start(mControl, context.platform(), "orders-" + domain, self);
        mScopes.add(orderScope);
        mWriters = WriterWatch.start(context);
        mOrders = OrderDuty.create(context, orderScope, mWriters);
        for (int shard = 0; shard < SealedWindow.SHARDS; shard++) {
            LeasedScope scope =
                    LeasedScope.start(mControl, context.platform(), "usage-" + shard, self);
            mScopes.add(scope);
            mUsage.add(UsageDuty.create(context, scope, shard));
        }
        mCopier =
                CounterCopier.start(
                        mControl,
                        mMembership,
                        context.peers(),
                        context.settings().systemCredential(),
                        context.counters());
    }

    static Duties start(EntryContext context) {
        Duties duties = new Duties(context);
        context.control().scheduleWithFixedDelay(PERIOD, duties::round);
        return duties;
    }

    /** Gives up unsent orders of a scope; see {@link PeerHandler.OrderStop}. */
    boolean stopOrders(String scope, String incarnation, long term) {
        return mScopes.stream()
                .filter(each -> each.name().equals(scope))
                .findFirst()
                .map(each -> each.orders().stopSending(incarnation, term))
                .orElse(false);
    }

    /** Takes note of the order that an engine says it applied last. */
    void applied(String endpoint, String identifier) {
        mOrders.applied(endpoint, identifier);
    }

    /** Returns the scopes with their leases. */
    List<LeasedScope> scopes() {
        return List.copyOf(mScopes);
    }

    /** Copies the last counts and releases the leases; blocks until that is done or a limit. */
    void handOver() {
        mControl.execute(
                () -> {
                    mStopping = true;
                    mCopier.copy();
                    mScopes.forEach(scope -> scope.lease().setWanted(false));
                });
        long end = MonotonicClock.nowMillis() + HAND_OVER_LIMIT.toMillis();
        while (holdsAny() && MonotonicClock.nowMillis() < end) {
            pause();
        }
    }

    private void round() {
        long now = MonotonicClock.nowMillis();
        // At its start a process knows nobody, so it would believe to come first everywhere.
        boolean settled = now - mStartedMillis > UNSETTLED_MILLIS;
        String domain = mMembership.self().failureDomain();
        for (LeasedScope scope : mScopes) {
            boolean orders = scope == mScopes.get(0);
            List<String> candidates =
                    orders
                            ? mMembership.liveNames(domain, now)
                            : mMembership.live(now).stream().map(each -> each.name()).toList();
            boolean held = scope.lease().isHeld(now);
            boolean first = settled && ranksFirst(scope.name(), candidates);
            scope.lease().setWanted(!mStopping && (held || first));
            mWriters.settle(scope, now);
        }
        mOrders.round(now);
        mUsage.forEach(usage -> usage.round(now));
    }

    private boolean ranksFirst(String scope, List<String> candidates) {
        return RendezvousRanking.rank(scope, candidates).stream()
                .limit(CANDIDATES)
                .anyMatch(mMembership.self().name()::equals);
    }

    private boolean holdsAny() {
        try {
            return mControl.submit(
                            () -> {
                                long now = MonotonicClock.nowMillis();
                                return mScopes.stream().anyMatch(s -> s.lease().isHeld(now));
                            })
                    .get(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException | TimeoutException | CompletionException e) {
            return false;
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
