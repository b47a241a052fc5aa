package org.vanilladoor.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.NewsPace;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Orders role changes, under the fleet's lease.
 *
 * <p>Invariants: one order to an engine is open at a time, each is sent once, with the number of
 * orders that the engine had accepted before, so that a late one can't undo a newer one; a new
 * holder waits until no order of its forerunner can still be on its way. Belongs to the control
 * thread.
 */
final class RoleDuty {
    /** Longest time after which an engine still carries out an order that it did not answer. */
    private static final long FORERUNNER_MILLIS = 12_000;

    /** Time that news takes to a VM which asks for it, in milliseconds. */
    private static final long ANSWERED_MILLIS = 150;

    /** Time between looks at an engine that changes. */
    private static final Duration CHECK = Duration.ofMillis(400);

    /** Time after which an order without an answer is carried out or lost. */
    private static final Duration UNANSWERED = Duration.ofMillis(FORERUNNER_MILLIS);

    private final ControlLoop mControl;
    private final FleetOrders mOrders;
    private final EndpointDirectory mDirectory;
    private final MemberBoard mBoard;
    private final ServingState mState;
    private final Map<String, FleetPlan> mPlans = new HashMap<>();
    private final Map<String, EngineRole> mOpen = new HashMap<>();
    private long mHeldSinceMillis = Long.MAX_VALUE;
    private long mTerm;

    RoleDuty(
            ControlLoop control,
            FleetOrders orders,
            EndpointDirectory directory,
            MemberBoard board,
            ServingState state) {
        mControl = control;
        mOrders = orders;
        mDirectory = directory;
        mBoard = board;
        mState = state;
    }

    void pulse(FleetLease lease) {
        long now = MonotonicClock.nowMillis();
        if (lease.authority().term() != mTerm) {
            mTerm = lease.authority().term();
            mHeldSinceMillis = now;
        }
        settleForerunners();
        boolean first = mTerm == 1;
        if (!first && now - mHeldSinceMillis < FORERUNNER_MILLIS) {
            return;
        }
        mState.configuration()
                .ifPresent(
                        configuration ->
                                configuration
                                        .services()
                                        .values()
                                        .forEach(service -> change(service, lease, now)));
    }

    private void change(ServiceDefinition service, FleetLease lease, long now) {
        Work work = mBoard.work().getOrDefault(service.name(), Work.NONE);
        FleetPlan plan = mPlans.computeIfAbsent(service.name(), name -> FleetPlan.create());
        for (FleetPlan.RoleChange change : plan.decide(service, endpoints(service), work, now)) {
            if (mOpen.putIfAbsent(change.engine().name(), change.role()) == null) {
                plan.ordered(change, now);
                EventLog.write(
                        "role",
                        "change.decided",
                        "endpoint",
                        change.engine().name(),
                        "role",
                        change.role(),
                        "reading",
                        work.reading(),
                        "running",
                        work.running(),
                        "term",
                        mTerm);
                order(change, lease);
            }
        }
    }

    /** Returns the endpoints; those whose change is decided and not yet heard of change already. */
    private List<Endpoint> endpoints(ServiceDefinition service) {
        return mDirectory.of(service.name()).stream()
                .map(
                        endpoint ->
                                mOpen.containsKey(endpoint.name())
                                        ? endpoint.changingTo(mOpen.get(endpoint.name()))
                                        : endpoint)
                .toList();
    }

    /** Tells all VMs first, so that they send nothing there, and orders once they have heard. */
    private void order(FleetPlan.RoleChange change, FleetLease lease) {
        Endpoint engine = change.engine();
        mOrders.announce(engine, change.role(), true)
                .thenRun(
                        () ->
                                mControl.delay(
                                        heard(),
                                        () -> orderAnnounced(engine, change.role(), lease)))
                .exceptionally(failure -> giveUp(engine, failure));
    }

    /** Returns the time in which all VMs hear of a change that is announced. */
    private Duration heard() {
        return Duration.ofMillis(NewsPace.millis(mState.vmCount()) + ANSWERED_MILLIS);
    }

    private void orderAnnounced(Endpoint engine, EngineRole role, FleetLease lease) {
        mOrders.report(engine)
                .thenCompose(
                        report -> {
                            if (!lease.isHeld()) {
                                throw new IllegalStateException("the lease is lost");
                            }
                            return mOrders.changeRole(
                                    engine, role, report.accepted(), lease.authority());
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
                            settleLater(engine, failure != null);
                        });
    }

    private void settleLater(Endpoint engine, boolean unanswered) {
        // An order without an answer may still be carried out much later.
        mControl.delay(unanswered ? UNANSWERED : CHECK, () -> settle(engine));
    }

    /** Announces the role that the engine has, once no order is being carried out. */
    private void settle(Endpoint engine) {
        if (mDirectory.find(engine.name()).isEmpty()) {
            mOpen.remove(engine.name());
            return;
        }
        mOrders.report(engine)
                .whenComplete(
                        (report, failure) -> {
                            if (failure == null && !report.busy()) {
                                announceSettled(engine, report.role());
                            } else {
                                settleLater(engine, false);
                            }
                        });
    }

    private void announceSettled(Endpoint engine, EngineRole role) {
        mOrders.announce(engine, role, false)
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
                                // The directory hears of it a little later than this answer.
                                mControl.delay(CHECK, () -> mOpen.remove(engine.name()));
                            } else {
                                settleLater(engine, false);
                            }
                        });
    }

    private Void giveUp(Endpoint engine, Throwable failure) {
        mOpen.remove(engine.name());
        EventLog.write(
                "role",
                "change.given_up",
                "endpoint",
                engine.name(),
                "reason",
                failure.getMessage());
        return null;
    }

    /** Settles changes that a forerunner has announced and not ended. */
    private void settleForerunners() {
        mDirectory.all().stream()
                .filter(Endpoint::changing)
                .filter(engine -> mOpen.putIfAbsent(engine.name(), engine.role()) == null)
                .forEach(this::settle);
    }
}
