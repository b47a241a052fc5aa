package org.vanilladoor.leader;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Orders endpoints, under the fleet's lease.
 *
 * <p>Invariant: one order is open at a time and each is sent once. Belongs to the control thread.
 */
final class SizeDuty {
    private final FleetOperations mOrders;
    private final EndpointDirectory mDirectory;
    private final MemberBoard mBoard;
    private final ServingState mState;
    private final Map<String, FleetSize> mSizes = new HashMap<>();
    private long mTerm;
    private boolean mOpen;

    SizeDuty(
            FleetOperations orders,
            EndpointDirectory directory,
            MemberBoard board,
            ServingState state) {
        mOrders = orders;
        mDirectory = directory;
        mBoard = board;
        mState = state;
    }

    void pulse(FleetLease lease) {
        if (lease.authority().term() != mTerm) {
            mTerm = lease.authority().term();
            mSizes.clear();
        }
        mState.configuration()
                .ifPresent(
                        configuration ->
                                configuration
                                        .services()
                                        .values()
                                        .forEach(service -> order(service, lease)));
    }

    private void order(ServiceDefinition service, FleetLease lease) {
        if (mOpen) {
            return;
        }
        long now = MonotonicClock.nowMillis();
        FleetSize size = mSizes.computeIfAbsent(service.name(), name -> FleetSize.create());
        Work work = mBoard.work().getOrDefault(service.name(), Work.NONE);
        size.decide(service, mDirectory.of(service.name()), work, now).stream()
                .findFirst()
                .ifPresent(order -> send(order, size, work, lease));
    }

    private void send(
            FleetOperations.ScaleOrder order, FleetSize size, Work work, FleetLease lease) {
        if (!lease.isHeld()) {
            return;
        }
        mOpen = true;
        mOrders.scale(order, lease.authority())
                .whenComplete(
                        (accepted, failure) -> {
                            mOpen = false;
                            boolean done = failure == null && accepted;
                            size.answered(order, done, MonotonicClock.nowMillis());
                            EventLog.write(
                                    "size",
                                    done ? "order.accepted" : "order.failed",
                                    "service",
                                    order.service(),
                                    "domain",
                                    order.failureDomain(),
                                    "number",
                                    order.count(),
                                    "reclaimable",
                                    order.reclaimable(),
                                    "reading",
                                    work.reading(),
                                    "running",
                                    work.running(),
                                    "term",
                                    mTerm,
                                    "reason",
                                    failure == null ? "-" : failure.getMessage());
                        });
    }
}
