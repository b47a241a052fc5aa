package org.vanilladoor.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.lease.LeaseCore;

/**
 * Decides which orders are written and which are sent.
 *
 * <p>An order is committed to the journal in the lease's own object before it is sent, and only the
 * process that wrote it sends it, once. To a target that does not check terms nothing new is sent
 * until the open order is settled: its identifier was seen there, or it is known that it was not
 * and will not be sent, or its writer's VM is gone. Invariants: at most one open order per target;
 * no order is handed out twice, nor after its lease lapsed. Belongs to the control thread.
 */
public final class OrderCore {
    private final String mScope;
    private final String mSelf;
    private final LeaseCore mLease;
    private final Map<String, Long> mSentTerms = new HashMap<>();
    private OrderJournal mJournal = OrderJournal.empty();
    private long mAdoptedTerm;
    private long mStoppedThroughTerm;

    private OrderCore(String scope, String self, LeaseCore lease) {
        mScope = scope;
        mSelf = self;
        mLease = lease;
    }

    /**
     * Returns a core that has written nothing.
     *
     * @param scope name of the scope, part of every identifier
     * @param self incarnation of this process
     * @param lease lease of the scope, whose payload is the journal
     */
    public static OrderCore create(String scope, String self, LeaseCore lease) {
        return new OrderCore(scope, self, lease);
    }

    /** Returns whether this process may write orders now; adopts the journal of a new term. */
    public boolean mayWriteOrders(long nowMillis) {
        if (!mLease.isHeld(nowMillis) || mLease.term() <= mStoppedThroughTerm) {
            return false;
        }
        if (mAdoptedTerm != mLease.term()) {
            mAdoptedTerm = mLease.term();
            mJournal = OrderJournal.parse(mLease.payload());
            dropUnsent();
        }
        return true;
    }

    /** Returns whether an order for a target could be written now. */
    public boolean mayWriteOrderFor(String target, long nowMillis) {
        return mayWriteOrders(nowMillis) && isFree(target);
    }

    /**
     * Writes an order into the journal; it is sent once it is committed.
     *
     * @return the identifier, or empty if the target has an unsettled order or the lease is lost
     */
    public Optional<String> writeOrder(
            String target, String content, boolean checksTerms, long nowMillis) {
        if (!mayWriteOrderFor(target, nowMillis)) {
            return Optional.empty();
        }
        String identifier = mScope + "-" + mAdoptedTerm + "-" + mJournal.nextNumber();
        propose(
                mJournal.with(
                        new OpenOrder(
                                identifier, target, content, mAdoptedTerm, mSelf, checksTerms)),
                nowMillis);
        return Optional.of(identifier);
    }

    /** Records that new work at an endpoint is stopped, or allowed again. */
    public void recordDrained(String endpoint, boolean drained, long nowMillis) {
        if (mayWriteOrders(nowMillis)) {
            propose(
                    drained ? mJournal.withDrained(endpoint) : mJournal.withoutDrained(endpoint),
                    nowMillis);
        }
    }

    /** Takes the committed orders to send now; each is handed out once, to be sent at once. */
    public List<OpenOrder> takeSendable(long nowMillis) {
        List<OpenOrder> sendable = new ArrayList<>();
        if (!mayWriteOrders(nowMillis)) {
            return sendable;
        }
        OrderJournal committed = OrderJournal.parse(mLease.payload());
        for (OpenOrder order : committed.open()) {
            boolean own = order.writer().equals(mSelf) && order.term() == mAdoptedTerm;
            boolean open = mJournal.isOpen(order.identifier());
            if (own && open && !mSentTerms.containsKey(order.identifier())) {
                mSentTerms.put(order.identifier(), order.term());
                sendable.add(order);
            }
        }
        return sendable;
    }

    /** Notes that an order had its effect, or is known to have none. */
    public void markSettled(String identifier, long nowMillis) {
        mSentTerms.remove(identifier);
        if (mayWriteOrders(nowMillis) && mJournal.isOpen(identifier)) {
            propose(mJournal.without(order -> order.identifier().equals(identifier)), nowMillis);
        }
    }

    /** Notes that a target refused an order for its term: this process has lost its authority. */
    public void markRefused(String identifier) {
        mSentTerms.remove(identifier);
        mLease.invalidate();
    }

    /** Notes the identifier of the last order that a target applied. */
    public void recordApplied(String target, String appliedIdentifier, long nowMillis) {
        Optional<OpenOrder> open = mJournal.openFor(target);
        if (open.isPresent() && open.get().identifier().equals(appliedIdentifier)) {
            markSettled(appliedIdentifier, nowMillis);
        }
    }

    /** Notes that a process can send no more and that what it wrote had its effect or has none. */
    public void recordWriterGone(String incarnation, long nowMillis) {
        boolean any = mJournal.open().stream().anyMatch(o -> o.writer().equals(incarnation));
        if (any && !incarnation.equals(mSelf) && mayWriteOrders(nowMillis)) {
            propose(mJournal.without(o -> o.writer().equals(incarnation)), nowMillis);
        }
    }

    /**
     * Gives up sending orders of terms up to the given one.
     *
     * @return whether this process has sent none of them and will send none
     */
    public boolean stopSending(String incarnation, long term) {
        if (!incarnation.equals(mSelf)) {
            return false;
        }
        mStoppedThroughTerm = Math.max(mStoppedThroughTerm, term);
        return mSentTerms.values().stream().noneMatch(sent -> sent <= term);
    }

    /** Returns the journal as this process wants it. */
    public OrderJournal journal() {
        return mJournal;
    }

    /** Returns the term under which this process acts. */
    public long term() {
        return mAdoptedTerm;
    }

    /** An own order of an earlier term that was not sent is never sent, so it is settled. */
    private void dropUnsent() {
        mJournal =
                mJournal.without(
                        order ->
                                order.writer().equals(mSelf)
                                        && !mSentTerms.containsKey(order.identifier()));
    }

    private boolean isFree(String target) {
        Optional<OpenOrder> open = mJournal.openFor(target);
        return open.isEmpty() || open.get().checksTerms() && open.get().term() < mAdoptedTerm;
    }

    private void propose(OrderJournal journal, long nowMillis) {
        mJournal = journal;
        mLease.propose(journal.toPayload(), nowMillis);
    }
}
