package org.vanilladoor.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Orders changes of the number of endpoints while this process holds the fleet lease.
 *
 * <p>Invariants: at most one order is open, and each order is sent once. Confined to the control
 * thread.
 */
final class ScalingTask {
    private final FleetOperations mOperations;
    private final EndpointDirectory mDirectory;
    private final MemberView mMembers;
    private final ServingState mState;
    private final Predicate<Endpoint> mIsLimited;
    private final Map<String, ScalingPlanner> mPlanners = new HashMap<>();
    private long mTerm;
    private boolean mOrderOpen;

    ScalingTask(
            FleetOperations operations,
            EndpointDirectory directory,
            MemberView members,
            ServingState state,
            Predicate<Endpoint> isLimited) {
        mOperations = operations;
        mDirectory = directory;
        mMembers = members;
        mState = state;
        mIsLimited = isLimited;
    }

    /** Sends the next order that is due; to be called only while the lease is held. */
    void tick(FleetLease lease) {
        if (lease.term() != mTerm) {
            mTerm = lease.term();
            mPlanners.clear();
        }
        mState.configuration()
                .ifPresent(
                        configuration ->
                                configuration
                                        .services()
                                        .values()
                                        .forEach(service -> orderIfDue(service, lease)));
    }

    private void orderIfDue(ServiceDefinition service, FleetLease lease) {
        if (mOrderOpen) {
            return;
        }
        long now = MonotonicClock.nowMillis();
        ScalingPlanner planner =
                mPlanners.computeIfAbsent(service.name(), name -> ScalingPlanner.create());
        ServiceLoad load = mMembers.loadByService().getOrDefault(service.name(), ServiceLoad.NONE);
        List<Endpoint> endpoints = mDirectory.findByService(service.name());
        int limited = (int) endpoints.stream().filter(mIsLimited).count();
        planner.setReportedInitialSize(mMembers.reportedInitialSize(service.name()));
        planner.decide(service, endpoints, limited, load, now).stream()
                .findFirst()
                .ifPresent(order -> send(order, planner, load, lease));
        if (planner.initialSize() > 0) {
            mMembers.recordInitialSize(service.name(), planner.initialSize());
        }
    }

    private void send(
            FleetOperations.ScaleOrder order,
            ScalingPlanner planner,
            ServiceLoad load,
            FleetLease lease) {
        if (!lease.mayCall()) {
            return;
        }
        mOrderOpen = true;
        lease.call("scale", permit -> mOperations.scale(order, permit))
                .whenComplete(
                        (accepted, failure) -> {
                            mOrderOpen = false;
                            boolean succeeded = failure == null && accepted;
                            planner.recordResponse(order, succeeded, MonotonicClock.nowMillis());
                            EventLog.write(
                                    "size",
                                    succeeded ? "order.accepted" : "order.failed",
                                    "service",
                                    order.service(),
                                    "domain",
                                    order.failureDomain(),
                                    "number",
                                    order.count(),
                                    "reclaimable",
                                    order.reclaimable(),
                                    "reading",
                                    load.reading(),
                                    "running",
                                    load.running(),
                                    "generating",
                                    load.generating(),
                                    "arriving",
                                    load.prompts().arriving(),
                                    "waiting",
                                    load.prompts().waiting(),
                                    "missed",
                                    load.prompts().missed(),
                                    "size",
                                    planner.size(),
                                    "prefill_needs",
                                    planner.demand().prefillEngines(),
                                    "decode_needs",
                                    planner.demand().decodeEngines(),
                                    "short",
                                    planner.demand().isShort(),
                                    "term",
                                    mTerm,
                                    "reason",
                                    reason(succeeded, failure));
                        });
    }

    private static String reason(boolean succeeded, Throwable failure) {
        if (failure != null) {
            return failure.getMessage();
        }
        return succeeded ? "-" : "the platform has none available";
    }
}
