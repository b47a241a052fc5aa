package org.vanilladoor.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.lease.LeaseCore;

/**
 * Decides which orders are written to the journal and which are sent.
 *
 * <p>An order is committed to the journal, which is the payload of the lease, before it is sent.
 * Only the process that wrote an order sends it, once. A target that does not check terms gets no
 * new order until its open order is settled: the target reported the order's identifier, or the
 * order is known not to have been sent and never to be sent, or its writer's VM is gone.
 * Invariants: there is at most one open order per target; no order is returned for sending twice,
 * or after the lease has expired. Time is passed in as an argument. Confined to the control thread.
 */
public final class OrderCore {
    private final String mScope;
    private final String mSelf;
    private final LeaseCore mLease;
    private final Map<String, Long> mSentTerms = new HashMap<>();
    private OrderJournal mJournal = OrderJournal.empty();
    private long mJournalTerm;
    private long mStoppedThroughTerm;

    private OrderCore(String scope, String self, LeaseCore lease) {
        mScope = scope;
        mSelf = self;
        mLease = lease;
    }

    /**
     * Returns the state of a process that has written no orders.
     *
     * @param scope name of the scope, part of every identifier
     * @param self incarnation of this process
     * @param lease lease of the scope, whose payload is the journal
     */
    public static OrderCore create(String scope, String self, LeaseCore lease) {
        return new OrderCore(scope, self, lease);
    }

    /** Returns whether this process may write orders now; loads the journal if the term is new. */
    public boolean mayWriteOrders(long nowMillis) {
        if (!mLease.isHeld(nowMillis) || mLease.term() <= mStoppedThroughTerm) {
            return false;
        }
        if (mJournalTerm != mLease.term()) {
            mJournalTerm = mLease.term();
            mJournal = OrderJournal.parse(mLease.payload());
            removeUnsent();
        }
        return true;
    }

    /** Returns whether this process may write an order for a target now. */
    public boolean mayWriteOrderFor(String target, long nowMillis) {
        return mayWriteOrders(nowMillis) && mayReplaceOpenOrder(target);
    }

    /**
     * Writes an order to the journal; it can be sent once the journal is committed.
     *
     * @return the order's identifier, or empty if the target has an unsettled order or the lease is
     *     not held
     */
    public Optional<String> writeOrder(
            String target, String content, boolean checksTerms, long nowMillis) {
        if (!mayWriteOrderFor(target, nowMillis)) {
            return Optional.empty();
        }
        String identifier = mScope + "-" + mJournalTerm + "-" + mJournal.nextNumber();
        proposeJournal(
                mJournal.with(
                        new OpenOrder(
                                identifier, target, content, mJournalTerm, mSelf, checksTerms)),
                nowMillis);
        return Optional.of(identifier);
    }

    /** Records in the journal that new work at an endpoint is stopped or resumed. */
    public void recordDrained(String endpoint, boolean drained, long nowMillis) {
        if (mayWriteOrders(nowMillis)) {
            proposeJournal(
                    drained ? mJournal.withDrained(endpoint) : mJournal.withoutDrained(endpoint),
                    nowMillis);
        }
    }

    /** Returns whether every later holder will know that new work at an endpoint is stopped. */
    public boolean isDrainCommitted(String endpoint, long nowMillis) {
        return mayWriteOrders(nowMillis)
                && mJournal.drained().contains(endpoint)
                && OrderJournal.parse(mLease.payload()).drained().contains(endpoint);
    }

    /** Returns the committed orders to send immediately; each order is returned only once. */
    public List<OpenOrder> takeSendable(long nowMillis) {
        List<OpenOrder> sendable = new ArrayList<>();
        if (!mayWriteOrders(nowMillis)) {
            return sendable;
        }
        OrderJournal committed = OrderJournal.parse(mLease.payload());
        for (OpenOrder order : committed.open()) {
            boolean isOwn = order.writer().equals(mSelf) && order.term() == mJournalTerm;
            boolean isOpen = mJournal.isOpen(order.identifier());
            if (isOwn && isOpen && !mSentTerms.containsKey(order.identifier())) {
                mSentTerms.put(order.identifier(), order.term());
                sendable.add(order);
            }
        }
        return sendable;
    }

    /**
     * Removes an order from the journal after it took effect or when it can't take effect any more.
     */
    public void markSettled(String identifier, long nowMillis) {
        mSentTerms.remove(identifier);
        boolean mayWrite = mayWriteOrders(nowMillis);
        if (!mJournal.isOpen(identifier)) {
            return;
        }
        // Also while the lease has lapsed, since it may be valid again in the same term.
        mJournal = mJournal.without(order -> order.identifier().equals(identifier));
        if (mayWrite) {
            proposeJournal(mJournal, nowMillis);
        }
    }

    /** Records that a target refused an order for its term, and invalidates the lease. */
    public void markRefused(String identifier) {
        mSentTerms.remove(identifier);
        mLease.invalidate();
    }

    /** Settles a target's open order if it is the last order that the target applied. */
    public void recordApplied(String target, String appliedIdentifier, long nowMillis) {
        Optional<OpenOrder> open = mJournal.openFor(target);
        if (open.isPresent() && open.get().identifier().equals(appliedIdentifier)) {
            markSettled(appliedIdentifier, nowMillis);
        }
    }

    /**
     * Removes the orders of another process from the journal.
     *
     * <p>To be called only when that process sends no more orders and each of its orders has taken
     * effect or can't take effect any more.
     */
    public void recordWriterGone(String incarnation, long nowMillis) {
        removeOrdersOf(incarnation, Long.MAX_VALUE, nowMillis);
    }

    /**
     * Removes the orders of terms up to the given one that another process wrote and, as it has
     * answered, neither has sent nor will send.
     */
    public void recordWriterStopped(String incarnation, long throughTerm, long nowMillis) {
        removeOrdersOf(incarnation, throughTerm, nowMillis);
    }

    /**
     * Stops sending orders of terms up to the given one, if the incarnation is this process's own.
     *
     * @return whether this process has sent no unsettled order of these terms and will send none
     */
    public boolean stopSending(String incarnation, long term) {
        if (!incarnation.equals(mSelf)) {
            return false;
        }
        mStoppedThroughTerm = Math.max(mStoppedThroughTerm, term);
        return mSentTerms.values().stream().noneMatch(sent -> sent <= term);
    }

    /**
     * Withdraws this process's orders that it has not sent, before it releases the lease.
     *
     * @return whether the committed journal has no order of this process that it may have sent
     */
    public boolean withdrawUnsent(long nowMillis) {
        if (!mayWriteOrders(nowMillis)) {
            return true;
        }
        removeUnsent();
        if (!mJournal.equals(OrderJournal.parse(mLease.payload()))) {
            proposeJournal(mJournal, nowMillis);
        }
        return mSentTerms.isEmpty() && !mLease.hasUncommittedPayload();
    }

    /** Returns the journal including changes that are not yet committed. */
    public OrderJournal journal() {
        return mJournal;
    }

    /** Returns the term of the journal that this process last loaded. */
    public long term() {
        return mJournalTerm;
    }

    private void removeOrdersOf(String incarnation, long throughTerm, long nowMillis) {
        if (incarnation.equals(mSelf) || !mayWriteOrders(nowMillis)) {
            return;
        }
        OrderJournal remaining =
                mJournal.without(
                        order -> order.writer().equals(incarnation) && order.term() <= throughTerm);
        if (!remaining.equals(mJournal)) {
            proposeJournal(remaining, nowMillis);
        }
    }

    /** Removes this process's unsent orders of earlier terms, which are never sent. */
    private void removeUnsent() {
        mJournal =
                mJournal.without(
                        order ->
                                order.writer().equals(mSelf)
                                        && !mSentTerms.containsKey(order.identifier()));
    }

    private boolean mayReplaceOpenOrder(String target) {
        Optional<OpenOrder> open = mJournal.openFor(target);
        return open.isEmpty() || open.get().checksTerms() && open.get().term() < mJournalTerm;
    }

    private void proposeJournal(OrderJournal journal, long nowMillis) {
        mJournal = journal;
        mLease.propose(journal.toPayload(), nowMillis);
    }
}
