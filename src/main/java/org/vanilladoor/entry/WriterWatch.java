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
 * Finds out whether the writers of open orders can still send them.
 *
 * <p>A writer can send no more if the platform lists its VM as gone, if a later process of its VM
 * has taken its address, or if it says that it has sent nothing and will send nothing. Belongs to
 * the control thread.
 */
final class WriterWatch {
    private static final Duration LIST_PERIOD = Duration.ofSeconds(2);
    private final EntryContext mContext;
    private final Set<String> mAsked = new HashSet<>();
    private List<VirtualMachine> mMachines = List.of();

    private WriterWatch(EntryContext context) {
        mContext = context;
    }

    static WriterWatch start(EntryContext context) {
        WriterWatch watch = new WriterWatch(context);
        context.control().scheduleWithFixedDelay(LIST_PERIOD, watch::list);
        return watch;
    }

    /** Settles the open orders of a scope whose writers can send no more. */
    void settle(LeasedScope scope, long nowMillis) {
        if (!scope.orders().mayWriteOrders(nowMillis)) {
            return;
        }
        for (OpenOrder order : scope.orders().journal().open()) {
            String writer = order.writer();
            if (writer.equals(mContext.writerName())) {
                continue;
            }
            if (isGone(writer)) {
                scope.orders().recordWriterGone(writer, nowMillis);
            } else {
                askToStop(scope, order);
            }
        }
    }

    /** Returns the names of the VMs that may run an entry: listed ones and those heard of. */
    Set<String> possibleMachines() {
        Set<String> names = new TreeSet<>();
        mContext.membership().others().forEach(member -> names.add(member.name()));
        for (VirtualMachine machine : mMachines) {
            if (machine.state() == VirtualMachine.State.GONE) {
                names.remove(machine.name());
            } else {
                names.add(machine.name());
            }
        }
        names.remove(mContext.settings().name());
        return names;
    }

    private void list() {
        mContext.platform()
                .listVirtualMachines()
                .thenAccept(machines -> mContext.control().execute(() -> mMachines = machines));
    }

    private boolean isGone(String writer) {
        String machine = EntryContext.machineOf(writer);
        if (machine.equals(mContext.settings().name())) {
            // An earlier process of this VM: this one has its address, so that one has ended.
            return true;
        }
        boolean listedAsGone =
                mMachines.stream()
                        .anyMatch(
                                each ->
                                        each.name().equals(machine)
                                                && each.state() == VirtualMachine.State.GONE);
        return listedAsGone
                || member(machine)
                        .filter(
                                record ->
                                        record.incarnation()
                                                        .compareTo(
                                                                EntryContext.incarnationOf(writer))
                                                > 0)
                        .isPresent();
    }

    private void askToStop(LeasedScope scope, OpenOrder order) {
        Optional<MemberRecord> writer = member(EntryContext.machineOf(order.writer()));
        if (writer.isEmpty() || !mAsked.add(order.identifier())) {
            return;
        }
        StopOrdersRequest request =
                new StopOrdersRequest(
                        mContext.settings().systemCredential(),
                        scope.name(),
                        order.writer(),
                        order.term());
        mContext.peers()
                .call(writer.get().peerAddress(), client -> client.stopOrders(request))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            mAsked.remove(order.identifier());
                            if (failure == null && reply.isStopped()) {
                                scope.orders()
                                        .recordWriterGone(
                                                order.writer(), MonotonicClock.nowMillis());
                            }
                        },
                        mContext.control()::execute);
    }

    private Optional<MemberRecord> member(String machine) {
        return mContext.membership().others().stream()
                .filter(record -> record.name().equals(machine))
                .findFirst();
    }
}
