package org.vanilladoor.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.generated.StopOrdersRequest;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.order.OpenOrder;
import org.vanilladoor.provider.VirtualMachine;

/**
 * Determines whether the processes that wrote open orders can still send them.
 *
 * <p>A writer can't send its orders any more if the platform lists its VM as gone, if a later
 * process runs on its VM, or if it confirms on request that it has sent none of them and will send
 * none. Confined to the control thread.
 */
final class OrderWriterMonitor {
    private static final Duration LIST_PERIOD = Duration.ofSeconds(2);
    private final EntryContext mContext;
    private final Set<String> mPendingStopRequests = new HashSet<>();
    private List<VirtualMachine> mVirtualMachines = List.of();

    private OrderWriterMonitor(EntryContext context) {
        mContext = context;
    }

    static OrderWriterMonitor start(EntryContext context) {
        OrderWriterMonitor monitor = new OrderWriterMonitor(context);
        context.control().scheduleWithFixedDelay(LIST_PERIOD, monitor::refreshVirtualMachines);
        return monitor;
    }

    /** Settles the open orders of a scope whose writers can no longer send them. */
    void settleOrdersOfStoppedWriters(LeasedScope scope, long nowMillis) {
        if (!scope.orders().mayWriteOrders(nowMillis)) {
            return;
        }
        for (OpenOrder order : scope.orders().journal().open()) {
            String writer = order.writer();
            if (writer.equals(mContext.writerName())) {
                continue;
            }
            if (isWriterGone(writer)) {
                scope.orders().recordWriterGone(writer, nowMillis);
            } else {
                requestStop(scope, order);
            }
        }
    }

    /**
     * Returns the names of the other VMs that may run an entry: those listed by the platform and
     * known members, without the ones listed as gone.
     */
    Set<String> possibleEntryVms() {
        Set<String> names = new TreeSet<>();
        mContext.membership().others().forEach(member -> names.add(member.name()));
        for (VirtualMachine vm : mVirtualMachines) {
            if (vm.state() == VirtualMachine.State.GONE) {
                names.remove(vm.name());
            } else {
                names.add(vm.name());
            }
        }
        names.remove(mContext.settings().name());
        return names;
    }

    private void refreshVirtualMachines() {
        mContext.platform()
                .listVirtualMachines()
                .thenAccept(
                        virtualMachines ->
                                mContext.control()
                                        .execute(() -> mVirtualMachines = virtualMachines));
    }

    private boolean isWriterGone(String writer) {
        String vmName = EntryContext.vmNameOf(writer);
        if (vmName.equals(mContext.settings().name())) {
            // The writer was an earlier process on this VM. It has ended, since this process was
            // able to bind its address.
            return true;
        }
        boolean listedAsGone =
                mVirtualMachines.stream()
                        .anyMatch(
                                each ->
                                        each.name().equals(vmName)
                                                && each.state() == VirtualMachine.State.GONE);
        return listedAsGone
                || findMember(vmName)
                        .filter(
                                record ->
                                        record.incarnation()
                                                        .compareTo(
                                                                EntryContext.incarnationOf(writer))
                                                > 0)
                        .isPresent();
    }

    private void requestStop(LeasedScope scope, OpenOrder order) {
        Optional<MemberRecord> writer = findMember(EntryContext.vmNameOf(order.writer()));
        if (writer.isEmpty() || !mPendingStopRequests.add(order.identifier())) {
            return;
        }
        StopOrdersRequest request =
                new StopOrdersRequest(
                        mContext.settings().systemCredential(),
                        scope.name(),
                        order.writer(),
                        order.term());
        mContext.peerClient()
                .call(writer.get().peerAddress(), client -> client.stopOrders(request))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            mPendingStopRequests.remove(order.identifier());
                            if (failure == null && reply.isStopped()) {
                                scope.orders()
                                        .recordWriterStopped(
                                                order.writer(),
                                                order.term(),
                                                MonotonicClock.nowMillis());
                            }
                        },
                        mContext.control()::execute);
    }

    private Optional<MemberRecord> findMember(String vmName) {
        return mContext.membership().others().stream()
                .filter(record -> record.name().equals(vmName))
                .findFirst();
    }
}
