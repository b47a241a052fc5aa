package org.vanilladoor.leader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.gateway.ServiceLoadSink.Counter;
import org.vanilladoor.gateway.ServiceLoadSink.Gauge;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Plays prompts against the decisions of a {@link RolePlanner}, without sockets or clocks.
 *
 * <p>Prompts arrive at random moments (fixed seed) and are prefilled one by one by the engine that
 * they are sent to, or wait for one with room. The running requests are given as figures over time,
 * since they don't depend on the roles in the situations played. The planner gets the load as the
 * lease holder does: measured by {@link ServiceLoadMeter}, smoothed, each second, a second late.
 */
final class RoleReplay {
    static final int SLOTS = 16;
    static final long ROLE_CHANGE_MILLIS = 3_000;

    /** Prompts per second that one engine prefills; 57 to 64 in 2 s were recorded. */
    static final double PROMPTS_PER_ENGINE_SECOND = 30;

    /** Prompts that an engine holds; a larger number would wait there instead of in the queue. */
    private static final int ROOM = 4;

    private static final long STEP_MILLIS = 5;
    private static final long TICK_MILLIS = 200;
    private static final long REPORT_MILLIS = 1_000;

    /** Time that a prompt may wait, of 2,121 ms that its caller waits. */
    private static final long MAXIMUM_WAIT_MILLIS = 1_950;

    private static final long OBJECTIVE_MILLIS = 265;
    private static final ServiceDefinition DEFINITION =
            new ServiceDefinition(
                    Endpoints.SERVICE,
                    500,
                    Optional.of(
                            new ServiceDefinition.EngineDefinition(
                                    SLOTS, 716_145, ROLE_CHANGE_MILLIS)),
                    Optional.empty());

    private final Planner mPlanner;
    private final ServiceLoadMeter mMeter = ServiceLoadMeter.create();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Deque<Long> mQueue = new ArrayDeque<>();
    private final Deque<ServiceLoad> mReports = new ArrayDeque<>();
    private final List<Change> mChanges = new ArrayList<>();
    private final List<Long> mRefusedMillis = new ArrayList<>();
    private final Random mRandom = new Random(7);
    private IntUnaryOperator mPromptsPerSecond = millis -> 0;
    private IntUnaryOperator mRunning = millis -> 0;
    private IntUnaryOperator mAwaiting = millis -> 0;
    private ServiceLoad mSmoothed = ServiceLoad.NONE;
    private int mRunningNow;
    private int mAwaitingNow;
    private long mNow;

    private RoleReplay(Planner planner) {
        mPlanner = planner;
    }

    /** Creates a replay that the planner decides. */
    static RoleReplay create() {
        RolePlanner planner = RolePlanner.create();
        return new RoleReplay(
                (endpoints, load, nowMillis) -> {
                    List<RolePlanner.RoleAssignment> changes =
                            planner.decide(DEFINITION, endpoints, load, nowMillis);
                    changes.forEach(change -> planner.recordOrder(change, nowMillis));
                    return changes;
                });
    }

    /** Creates a replay that the previous planner decides. */
    static RoleReplay createWithPreviousPlanner() {
        PreviousRolePlanner planner = PreviousRolePlanner.create();
        return new RoleReplay(
                (endpoints, load, nowMillis) -> {
                    List<RolePlanner.RoleAssignment> changes =
                            planner.decide(DEFINITION, endpoints, load, nowMillis);
                    changes.forEach(change -> planner.recordOrder(change, nowMillis));
                    return changes;
                });
    }

    /** Sets the prompts that arrive per second, by time. */
    RoleReplay prompts(IntUnaryOperator perSecond) {
        mPromptsPerSecond = perSecond;
        return this;
    }

    /** Sets the running requests, and how many of them have no first event, by time. */
    RoleReplay running(IntUnaryOperator running, IntUnaryOperator awaiting) {
        mRunning = running;
        mAwaiting = awaiting;
        return this;
    }

    RoleReplay addEngines(String failureDomain, EngineRole role, int number) {
        for (int index = 0; index < number; index++) {
            String name = failureDomain + "-" + role + "-" + index;
            mEngines.put(name, new Engine(Endpoints.engine(name, failureDomain, role)));
        }
        return this;
    }

    /** Removes engines of a failure domain, as the platform does that takes them back. */
    void removeEngines(String failureDomain, EngineRole role, int number) {
        mEngines.values().stream()
                .filter(each -> each.mEndpoint.failureDomain().equals(failureDomain))
                .filter(each -> each.mEndpoint.role() == role)
                .map(each -> each.mEndpoint.name())
                .sorted()
                .limit(number)
                .toList()
                .forEach(
                        name -> {
                            mQueue.addAll(mEngines.remove(name).mHeld);
                        });
    }

    /** Plays up to a time, and calls the observer at each tick. */
    void playUntil(long untilMillis, Runnable observer) {
        for (; mNow < untilMillis; mNow += STEP_MILLIS) {
            if (mNow % REPORT_MILLIS == 0) {
                report();
            }
            if (mNow % TICK_MILLIS == 0) {
                decide();
                observer.run();
            }
            step();
        }
    }

    private void report() {
        ServiceLoad latest =
                mMeter.takeLoads(mNow).getOrDefault(Endpoints.SERVICE, ServiceLoad.NONE);
        mSmoothed = mSmoothed.smoothedWith(latest);
        mReports.add(mSmoothed);
        if (mReports.size() > 2) {
            mReports.remove();
        }
    }

    private void decide() {
        List<Endpoint> endpoints =
                mEngines.values().stream()
                        .map(each -> each.mEndpoint)
                        .sorted(Comparator.comparing(Endpoint::name))
                        .toList();
        for (RolePlanner.RoleAssignment change :
                mPlanner.decide(endpoints, mReports.getFirst(), mNow)) {
            mChanges.add(new Change(mNow, change.engine().name(), change.role()));
            Engine engine = mEngines.get(change.engine().name());
            mQueue.addAll(engine.mHeld);
            engine.mHeld.clear();
            engine.mEndpoint = engine.mEndpoint.withRoleChange(change.role());
            engine.mReadyMillis = mNow + ROLE_CHANGE_MILLIS;
        }
    }

    private void step() {
        int time = (int) mNow;
        adjust(Gauge.RUNNING, mRunning.applyAsInt(time) - mRunningNow);
        adjust(Gauge.AWAITING_FIRST_EVENT, mAwaiting.applyAsInt(time) - mAwaitingNow);
        mRunningNow = mRunning.applyAsInt(time);
        mAwaitingNow = mAwaiting.applyAsInt(time);
        if (mRandom.nextDouble() < mPromptsPerSecond.applyAsInt(time) * STEP_MILLIS / 1_000.0 / 4) {
            for (int index = 0; index < 4; index++) {
                arrive();
            }
        }
        mEngines.values().forEach(this::prefill);
        refuseLate();
        dispatch();
    }

    private void arrive() {
        adjust(Gauge.PREFILLS, 1);
        adjust(Gauge.WAITING_PROMPTS, 1);
        count(Counter.ARRIVED_PROMPTS);
        mQueue.add(mNow);
    }

    private void prefill(Engine engine) {
        if (mNow >= engine.mReadyMillis && engine.mEndpoint.changing()) {
            Endpoint changed = engine.mEndpoint;
            engine.mEndpoint =
                    Endpoints.engine(changed.name(), changed.failureDomain(), changed.role());
        }
        if (!engine.isUsableForPrefill() || engine.mHeld.isEmpty()) {
            engine.mCredit = 0;
            return;
        }
        engine.mCredit += PROMPTS_PER_ENGINE_SECOND * STEP_MILLIS / 1_000;
        while (engine.mCredit >= 1 && !engine.mHeld.isEmpty()) {
            engine.mCredit -= 1;
            engine.mHeld.remove();
            adjust(Gauge.PREFILLS, -1);
            count(Counter.PREFILLED_PROMPTS);
        }
    }

    private void refuseLate() {
        while (!mQueue.isEmpty() && mNow - mQueue.peek() > MAXIMUM_WAIT_MILLIS) {
            mQueue.remove();
            adjust(Gauge.PREFILLS, -1);
            adjust(Gauge.WAITING_PROMPTS, -1);
            count(Counter.MISSED_PROMPTS);
            mRefusedMillis.add(mNow);
        }
    }

    private void dispatch() {
        List<Engine> usable =
                mEngines.values().stream()
                        .filter(Engine::isUsableForPrefill)
                        .sorted(Comparator.comparing(each -> each.mEndpoint.name()))
                        .toList();
        while (!mQueue.isEmpty()) {
            Optional<Engine> engine =
                    usable.stream()
                            .filter(each -> each.mHeld.size() < ROOM)
                            .min(Comparator.comparingInt(each -> each.mHeld.size()));
            if (engine.isEmpty()) {
                return;
            }
            long arrived = mQueue.remove();
            engine.get().mHeld.add(arrived);
            adjust(Gauge.WAITING_PROMPTS, -1);
            if (mNow - arrived > OBJECTIVE_MILLIS) {
                count(Counter.MISSED_PROMPTS);
            }
        }
    }

    private void adjust(Gauge gauge, int change) {
        mMeter.change(Endpoints.SERVICE, gauge, change, mNow);
    }

    private void count(Counter counter) {
        mMeter.count(Endpoints.SERVICE, counter, 1, mNow);
    }

    long nowMillis() {
        return mNow;
    }

    int size() {
        return mEngines.size();
    }

    /** Returns the number of engines that have, or change to, a role. */
    int engines(EngineRole role) {
        return (int)
                mEngines.values().stream().filter(each -> each.mEndpoint.role() == role).count();
    }

    /** Returns the share of the decode engines' slots that generate. */
    double generatingShare() {
        return (double) (mRunningNow - mAwaitingNow)
                / Math.max(1, SLOTS * engines(EngineRole.DECODE));
    }

    int waiting() {
        return mQueue.size();
    }

    int promptsPerSecond() {
        return mPromptsPerSecond.applyAsInt((int) mNow);
    }

    List<Change> changes() {
        return mChanges;
    }

    List<Long> refusedMillis() {
        return mRefusedMillis;
    }

    /** Decides role changes and records them as ordered. */
    private interface Planner {
        List<RolePlanner.RoleAssignment> decide(
                List<Endpoint> endpoints, ServiceLoad load, long nowMillis);
    }

    /** A role change that the planner ordered. */
    record Change(long millis, String engine, EngineRole role) {}

    /** An engine and the prompts that it holds. */
    private static final class Engine {
        private final Deque<Long> mHeld = new ArrayDeque<>();
        private Endpoint mEndpoint;
        private long mReadyMillis;
        private double mCredit;

        private Engine(Endpoint endpoint) {
            mEndpoint = endpoint;
        }

        private boolean isUsableForPrefill() {
            return mEndpoint.role() == EngineRole.PREFILL && !mEndpoint.changing();
        }
    }
}
