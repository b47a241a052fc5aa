package org.vanilladoor.role;

import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.order.OrderCore;

/**
 * Carries out one role change without aborting a request.
 *
 * <p>First the order journal records that the endpoint is drained. Then every entry that may know
 * the endpoint confirms that it sends no new requests there and has none in progress there. Only
 * then the order is written; an entry that does not respond prevents it. Confined to the control
 * thread.
 */
public final class RoleChangeProcess {
    private static final Logger LOG = LogManager.getLogger(RoleChangeProcess.class);

    /** Shortest time from the start of the drain to the order; entries become known meanwhile. */
    private static final long MINIMUM_DRAIN_MILLIS = 2_000;

    /** Time after which a drain that is not complete is cancelled. */
    private static final long DRAIN_TIMEOUT_MILLIS = 120_000;

    private final RoleChange mChange;
    private final boolean mChecksTerms;
    private final OrderCore mOrders;
    private final long mStartedMillis;
    private Stage mStage = Stage.DRAINING;
    private String mOrderIdentifier = "";

    private RoleChangeProcess(
            RoleChange change, boolean checksTerms, OrderCore orders, long nowMillis) {
        mChange = change;
        mChecksTerms = checksTerms;
        mOrders = orders;
        mStartedMillis = nowMillis;
    }

    /** Starts the process and records the drain of the engine in the order journal. */
    public static RoleChangeProcess start(
            RoleChange change, boolean checksTerms, OrderCore orders, long nowMillis) {
        LOG.info(
                "role: Starting change of {} to {}: {}.",
                change.endpoint(),
                change.role(),
                change.reason());
        orders.recordDrained(change.endpoint(), true, nowMillis);
        return new RoleChangeProcess(change, checksTerms, orders, nowMillis);
    }

    /** Returns the name of the engine that changes. */
    public String endpoint() {
        return mChange.endpoint();
    }

    /** Returns whether no entry is to send new requests to the engine. */
    public boolean isDraining() {
        return mStage != Stage.DONE;
    }

    /** Returns whether the process has ended. */
    public boolean isDone() {
        return mStage == Stage.DONE;
    }

    /**
     * Advances the process as far as possible.
     *
     * @param view current view of the engine; empty if it is gone
     * @param confirmations responses of the entries in the last cycle
     */
    public void proceed(
            Optional<EndpointView> view, List<Confirmation> confirmations, long nowMillis) {
        switch (mStage) {
            case DRAINING -> proceedDraining(view, confirmations, nowMillis);
            case ORDERED -> proceedOrdered(view, nowMillis);
            case DONE -> {}
        }
    }

    private void proceedDraining(
            Optional<EndpointView> view, List<Confirmation> confirmations, long nowMillis) {
        long drainMillis = nowMillis - mStartedMillis;
        if (view.isEmpty() || view.get().leaving() || drainMillis > DRAIN_TIMEOUT_MILLIS) {
            LOG.info(
                    "role: Change of {} cancelled; it is gone, leaving or not drained in time.",
                    mChange.endpoint());
            finish(nowMillis);
            return;
        }
        boolean isDrained =
                view.get().requests() == 0
                        && !confirmations.isEmpty()
                        && confirmations.stream().allMatch(Confirmation::isDrained);
        if (drainMillis >= MINIMUM_DRAIN_MILLIS && isDrained) {
            mOrders.writeOrder(mChange.endpoint(), mChange.role().name(), mChecksTerms, nowMillis)
                    .ifPresent(
                            identifier -> {
                                mOrderIdentifier = identifier;
                                mStage = Stage.ORDERED;
                            });
        }
    }

    private void proceedOrdered(Optional<EndpointView> view, long nowMillis) {
        boolean isSettled = !mOrders.journal().isOpen(mOrderIdentifier);
        if (isSettled && (view.isEmpty() || !view.get().changing())) {
            finish(nowMillis);
        }
    }

    private void finish(long nowMillis) {
        mOrders.recordDrained(mChange.endpoint(), false, nowMillis);
        mStage = Stage.DONE;
    }

    /**
     * An entry's response about its own requests at the engine.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param member name of the entry
     * @param confirmed whether it has stopped sending new requests
     * @param requests number of its requests still in progress there
     */
    public record Confirmation(String member, boolean confirmed, int requests) {
        boolean isDrained() {
            return confirmed && requests == 0;
        }
    }

    private enum Stage {
        DRAINING,
        ORDERED,
        DONE
    }
}
