package org.vanilladoor.leader;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.EndpointPollInterval;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.lease.LeaseNotHeldException;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Orders engines to change their role while this process holds the fleet lease.
 *
 * <p>Invariants: at most one order to an engine is open, and each order is sent once. It contains
 * the number of orders that the engine had accepted before, so that a late order can't undo a newer
 * one. A new lease holder waits until no order of the previous holder can still take effect. Each
 * step of a change is taken only in the term in which the change was begun; what is left then, the
 * next holder settles. Confined to the control thread.
 */
final class RoleChangeTask {
    /** Longest time after which an engine may still carry out an order that got no response. */
    private static final long MAXIMUM_ORDER_DELAY_MILLIS = 12_000;

    /** Time that an update takes to reach a VM that polls for it, in milliseconds. */
    private static final long UPDATE_DELIVERY_MILLIS = 150;

    /** Time between reads of the report of an engine that changes its role. */
    private static final Duration REPORT_READ_INTERVAL = Duration.ofMillis(400);

    /** Time after which an order without a response either has taken effect or is lost. */
    private static final Duration UNANSWERED_ORDER_WAIT =
            Duration.ofMillis(MAXIMUM_ORDER_DELAY_MILLIS);

    private final ControlLoop mControl;
    private final FleetOperations mOperations;
    private final EndpointDirectory mDirectory;
    private final MemberView mMembers;
    private final ServingState mState;
    private final EndpointPollInterval mPollInterval;
    private final Predicate<Endpoint> mIsLimited;
    private final Map<String, RolePlanner> mPlanners = new HashMap<>();
    private final Map<String, EngineRole> mOpenChanges = new HashMap<>();
    private long mHeldSinceMillis = Long.MAX_VALUE;
    private long mTerm;

    RoleChangeTask(
            ControlLoop control,
            FleetOperations operations,
            EndpointDirectory directory,
            MemberView members,
            ServingState state,
            EndpointPollInterval pollInterval,
            Predicate<Endpoint> isLimited) {
        mControl = control;
        mOperations = operations;
        mDirectory = directory;
        mMembers = members;
        mState = state;
        mPollInterval = pollInterval;
        mIsLimited = isLimited;
    }

    /** Settles and starts role changes; to be called only while the lease is held. */
    void tick(FleetLease lease) {
        long now = MonotonicClock.nowMillis();
        if (lease.term() != mTerm) {
            mTerm = lease.term();
            mHeldSinceMillis = now;
            mOpenChanges.clear();
        }
        settleUnfinishedChanges(lease);
        boolean isFirstTerm = mTerm == 1;
        if (!isFirstTerm && now - mHeldSinceMillis < MAXIMUM_ORDER_DELAY_MILLIS) {
            return;
        }
        mState.configuration()
                .ifPresent(
                        configuration ->
                                configuration
                                        .services()
                                        .values()
                                        .forEach(service -> orderChanges(service, lease, now)));
    }

    private void orderChanges(ServiceDefinition service, FleetLease lease, long now) {
        ServiceLoad load = mMembers.loadByService().getOrDefault(service.name(), ServiceLoad.NONE);
        RolePlanner planner =
                mPlanners.computeIfAbsent(service.name(), name -> RolePlanner.create());
        for (RolePlanner.RoleAssignment change :
                planner.decide(service, endpoints(service), load, now)) {
            if (mOpenChanges.putIfAbsent(change.engine().name(), change.role()) == null) {
                planner.recordOrder(change, now);
                logDecision(change, load, planner.demand());
                announceAndOrder(change, lease);
            }
        }
    }

    private void logDecision(
            RolePlanner.RoleAssignment change, ServiceLoad load, RolePlanner.RoleDemand demand) {
        EventLog.write(
                "role",
                "change.decided",
                "endpoint",
                change.engine().name(),
                "role",
                change.role(),
                "reading",
                load.reading(),
                "running",
                load.running(),
                "waiting",
                load.prompts().waiting(),
                "arriving",
                load.prompts().arriving(),
                "prefilled",
                load.prompts().prefilled(),
                "missed",
                load.prompts().missed(),
                "generating",
                load.generating(),
                "output_tokens",
                load.generation().outputTokens(),
                "per_engine",
                demand.promptsPerEngineSecond(),
                "prefill_needs",
                demand.prefill(),
                "decode_needs",
                demand.decode(),
                "decode_peak_needs",
                demand.decodePeak(),
                "prefill_starving",
                demand.isPrefillStarving(),
                "decode_starving",
                demand.isDecodeStarving(),
                "term",
                mTerm);
    }

    /**
     * Returns the endpoints that take what they are sent; those with an open change count as
     * changing to its role. Those that limit their requests don't count, so that others take their
     * role.
     */
    private List<Endpoint> endpoints(ServiceDefinition service) {
        return mDirectory.findByService(service.name()).stream()
                .filter(endpoint -> !mIsLimited.test(endpoint))
                .map(
                        endpoint ->
                                mOpenChanges.containsKey(endpoint.name())
                                        ? endpoint.withRoleChange(mOpenChanges.get(endpoint.name()))
                                        : endpoint)
                .toList();
    }

    /** Announces the change to all VMs, so that they stop sending requests, and then orders it. */
    private void announceAndOrder(RolePlanner.RoleAssignment change, FleetLease lease) {
        Endpoint engine = change.engine();
        TermSteps steps = new TermSteps(lease, mTerm);
        announce(engine, change.role(), true, lease)
                .thenRun(
                        () ->
                                steps.schedule(
                                        engine,
                                        announcementDelay(),
                                        () -> sendOrder(engine, change.role(), steps)))
                .exceptionally(failure -> cancelChange(engine, failure, steps));
    }

    private CompletableFuture<Void> announce(
            Endpoint engine, EngineRole role, boolean changing, FleetLease lease) {
        return lease.call(
                "announcement", permit -> mOperations.announceRole(engine, role, changing, permit));
    }

    /** Returns the time after which all VMs have received an announced change. */
    private Duration announcementDelay() {
        return Duration.ofMillis(mPollInterval.millis() + UPDATE_DELIVERY_MILLIS);
    }

    private void sendOrder(Endpoint engine, EngineRole role, TermSteps steps) {
        mOperations
                .readEngineReport(engine)
                .thenCompose(
                        report -> {
                            if (!steps.areCurrent()) {
                                throw new LeaseNotHeldException("the term of the change is over");
                            }
                            return steps.lease()
                                    .call(
                                            "order",
                                            permit ->
                                                    mOperations.changeRole(
                                                            engine,
                                                            role,
                                                            report.acceptedOrders(),
                                                            permit));
                        })
                .whenComplete(
                        (done, failure) -> {
                            EventLog.write(
                                    "role",
                                    failure == null ? "change.accepted" : "change.unanswered",
                                    "endpoint",
                                    engine.name(),
                                    "reason",
                                    failure == null ? "-" : failure.getMessage());
                            scheduleSettling(engine, failure != null, steps);
                        });
    }

    private void scheduleSettling(Endpoint engine, boolean isUnanswered, TermSteps steps) {
        // An order without a response may take effect much later.
        steps.schedule(
                engine,
                isUnanswered ? UNANSWERED_ORDER_WAIT : REPORT_READ_INTERVAL,
                () -> settle(engine, steps));
    }

    /** Announces the current role of the engine once it is not carrying out an order. */
    private void settle(Endpoint engine, TermSteps steps) {
        if (mDirectory.find(engine.name()).isEmpty()) {
            mOpenChanges.remove(engine.name());
            return;
        }
        mOperations
                .readEngineReport(engine)
                .whenComplete(
                        (report, failure) -> {
                            if (failure == null && !report.busy()) {
                                announceSettled(engine, report.role(), steps);
                            } else {
                                scheduleSettling(engine, false, steps);
                            }
                        });
    }

    private void announceSettled(Endpoint engine, EngineRole role, TermSteps steps) {
        announce(engine, role, false, steps.lease())
                .whenComplete(
                        (done, failure) -> {
                            EventLog.write(
                                    "role",
                                    failure == null ? "change.settled" : "change.unannounced",
                                    "endpoint",
                                    engine.name(),
                                    "role",
                                    role);
                            if (failure == null) {
                                // The directory receives the update slightly later than this
                                // response.
                                steps.schedule(
                                        engine,
                                        REPORT_READ_INTERVAL,
                                        () -> mOpenChanges.remove(engine.name()));
                            } else {
                                scheduleSettling(engine, false, steps);
                            }
                        });
    }

    private Void cancelChange(Endpoint engine, Throwable failure, TermSteps steps) {
        if (steps.areCurrent()) {
            mOpenChanges.remove(engine.name());
        }
        EventLog.write(
                "role",
                "change.given_up",
                "endpoint",
                engine.name(),
                "reason",
                failure.getMessage());
        return null;
    }

    /** Settles changes that a previous lease holder announced but did not complete. */
    private void settleUnfinishedChanges(FleetLease lease) {
        TermSteps steps = new TermSteps(lease, mTerm);
        mDirectory.all().stream()
                .filter(Endpoint::changing)
                .filter(engine -> mOpenChanges.putIfAbsent(engine.name(), engine.role()) == null)
                .forEach(engine -> settle(engine, steps));
    }

    /** The steps of changes that belong to one term of the lease; they end with the term. */
    private final class TermSteps {
        private final FleetLease mLease;
        private final long mStepsTerm;

        TermSteps(FleetLease lease, long term) {
            mLease = lease;
            mStepsTerm = term;
        }

        FleetLease lease() {
            return mLease;
        }

        boolean areCurrent() {
            return mLease.isHeld() && mLease.term() == mStepsTerm && mTerm == mStepsTerm;
        }

        /**
         * Takes a step after a delay, if the lease is held in this term then. If it is not, and is
         * held again later, the change is settled like one that another holder left.
         */
        void schedule(Endpoint engine, Duration delay, Runnable step) {
            mControl.schedule(
                    delay,
                    () -> {
                        if (areCurrent()) {
                            step.run();
                        } else if (mTerm == mStepsTerm) {
                            mOpenChanges.remove(engine.name());
                        }
                    });
        }
    }
}
