package org.vanilladoor.role;

import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.order.OrderCore;

/**
 * Carries out one role change so that it cuts no request.
 *
 * <p>The stop of new work is recorded in the journal, then every entry that may know the endpoint
 * confirms that it sends nothing more and has nothing there; only then the order is written. An
 * entry that does not answer keeps the order from being written. Belongs to the control thread.
 */
public final class RoleChangeProcess {
    private static final Logger LOG = LogManager.getLogger(RoleChangeProcess.class);
    private static final long SETTLE_MILLIS = 2_000;
    private static final long GIVE_UP_MILLIS = 120_000;
    private final RoleChange mChange;
    private final boolean mChecksTerms;
    private final OrderCore mOrders;
    private final long mStartedMillis;
    private Stage mStage = Stage.DRAINING;
    private String mOrder = "";

    private RoleChangeProcess(
            RoleChange change, boolean checksTerms, OrderCore orders, long nowMillis) {
        mChange = change;
        mChecksTerms = checksTerms;
        mOrders = orders;
        mStartedMillis = nowMillis;
    }

    /** Records the stop of new work and begins. */
    public static RoleChangeProcess start(
            RoleChange change, boolean checksTerms, OrderCore orders, long nowMillis) {
        LOG.info(
                "role: {} is to become {}: {}.", change.endpoint(), change.role(), change.reason());
        orders.recordDrained(change.endpoint(), true, nowMillis);
        return new RoleChangeProcess(change, checksTerms, orders, nowMillis);
    }

    /** Returns the engine that changes. */
    public String endpoint() {
        return mChange.endpoint();
    }

    /** Returns whether new work at the engine is to be stopped everywhere. */
    public boolean isDraining() {
        return mStage != Stage.DONE;
    }

    /** Returns whether the process has ended. */
    public boolean isDone() {
        return mStage == Stage.DONE;
    }

    /**
     * Goes on as far as possible.
     *
     * @param view what is known of the engine, empty if it is gone
     * @param confirmations what the entries answered in the last round
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
        long age = nowMillis - mStartedMillis;
        if (view.isEmpty() || view.get().leaving() || age > GIVE_UP_MILLIS) {
            LOG.info("role: The change of {} is given up.", mChange.endpoint());
            end(nowMillis);
            return;
        }
        boolean empty =
                view.get().requests() == 0
                        && !confirmations.isEmpty()
                        && confirmations.stream().allMatch(Confirmation::isEmpty);
        if (age >= SETTLE_MILLIS && empty) {
            mOrders.writeOrder(mChange.endpoint(), mChange.role().name(), mChecksTerms, nowMillis)
                    .ifPresent(
                            identifier -> {
                                mOrder = identifier;
                                mStage = Stage.ORDERED;
                            });
        }
    }

    private void proceedOrdered(Optional<EndpointView> view, long nowMillis) {
        boolean settled = !mOrders.journal().isOpen(mOrder);
        if (settled && (view.isEmpty() || !view.get().changing())) {
            end(nowMillis);
        }
    }

    private void end(long nowMillis) {
        mOrders.recordDrained(mChange.endpoint(), false, nowMillis);
        mStage = Stage.DONE;
    }

    /**
     * What an entry says of its own work at the engine.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param member name of the entry
     * @param confirmed whether it has stopped sending new work
     * @param requests its requests that are still there
     */
    public record Confirmation(String member, boolean confirmed, int requests) {
        boolean isEmpty() {
            return confirmed && requests == 0;
        }
    }

    private enum Stage {
        DRAINING,
        ORDERED,
        DONE
    }
}
