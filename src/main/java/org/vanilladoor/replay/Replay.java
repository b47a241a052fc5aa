package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.vanilladoor.common.Digests;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.dispatch.Demand;
import org.vanilladoor.dispatch.DispatchCore;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.dispatch.Outcome;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineJob;
import org.vanilladoor.engine.EngineModel;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.role.RoleChange;
import org.vanilladoor.role.RoleCore;

/**
 * Replays a trace through the decision cores on a virtual clock.
 *
 * <p>Invariant: the same trace, fleet and policies give the same decisions. Not safe for use by
 * several threads.
 */
public final class Replay {
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_MILLIS = 500;
    private static final long USUAL_LAG_MILLIS = 500;
    private static final long ROLE_MILLIS = 1_000;
    private static final long DRAIN_MILLIS = 60_000;
    private static final double KV_MOVE_MILLIS_PER_TOKEN = 0.005;
    private static final double KV_MOVE_BASE_MILLIS = 5;
    private static final long TAIL_MILLIS = 130_000;
    private final Targets mTargets;
    private final List<DispatchCore> mCores = new ArrayList<>();
    private final Map<String, ReplayEngine> mEngines = new TreeMap<>();
    private final RoleCore mRoles;
    private final List<RunningCall> mRunning = new ArrayList<>();
    private final ReplayTally mTally = ReplayTally.create();
    private final Map<String, Integer> mAttempts = new HashMap<>();
    private Optional<RoleChange> mDraining = Optional.empty();
    private long mDrainingSince;
    private long mLagMillis = USUAL_LAG_MILLIS;
    private int mNumber;

    private Replay(ReplayFleet fleet, Targets targets, Policies policies) {
        mTargets = targets;
        mRoles = RoleCore.create(policies.roles(), EngineProfile.standard());
        var descriptions = fleet.engines();
        for (int i = 0; i < descriptions.size(); i++) {
            EngineModel model = EngineModel.create(EngineProfile.standard(), fleet.role(i), 0);
            mEngines.put(
                    descriptions.get(i).name(), ReplayEngine.create(descriptions.get(i), model));
        }
        for (int i = 0; i < fleet.entries(); i++) {
            String domain = fleet.failureDomains().get(i % fleet.failureDomains().size());
            DispatchCore core = DispatchCore.create(domain, policies, new SplittableRandom(i));
            core.setTargets(targets);
            core.setEndpoints(descriptions);
            mCores.add(core);
        }
    }

    /** Replays a trace and returns what came of it. */
    public static ReplayTally run(
            List<TraceEvent> trace, ReplayFleet fleet, Targets targets, Policies policies) {
        Replay replay = new Replay(fleet, targets, policies);
        replay.runTrace(trace);
        return replay.mTally;
    }

    private void runTrace(List<TraceEvent> trace) {
        reportLoads(0);
        int next = 0;
        long end = trace.get(trace.size() - 1).at() + TAIL_MILLIS;
        for (long now = 0; now <= end; now += STEP_MILLIS) {
            while (next < trace.size() && trace.get(next).at() <= now) {
                take(trace.get(next), now);
                next++;
            }
            step(now);
            if (next == trace.size() && mRunning.isEmpty() && waiting() == 0) {
                break;
            }
        }
    }

    private void step(long now) {
        for (ReplayEngine engine : mEngines.values()) {
            engine.advanceTo(now);
            mTally.spend(engine, STEP_MILLIS);
        }
        if (now % REPORT_MILLIS == 0) {
            reportLoads(now);
        }
        observe(now);
        if (now % ROLE_MILLIS == 0) {
            decideRoles(now);
        }
        for (DispatchCore core : mCores) {
            core.decide(now).forEach(decision -> carryOut(core, decision, now));
        }
        mTally.sample(now, mEngines.values(), waiting());
    }

    private void take(TraceEvent event, long now) {
        switch (event.kind()) {
            case CALL -> submit(event, now);
            case RECLAIM ->
                    mEngines.values().stream()
                            .filter(engine -> engine.description().reclaimable())
                            .filter(
                                    engine ->
                                            engine.description()
                                                    .failureDomain()
                                                    .equals(event.target()))
                            .forEach(engine -> engine.reclaim(now + event.millis()));
            case LOSE_ENDPOINT -> mEngines.get(event.target()).lose();
            case LAG_LOADS -> mLagMillis = event.millis();
        }
    }

    private void submit(TraceEvent event, long now) {
        Call call =
                new Call(
                        "call-" + mNumber,
                        event.team(),
                        mTargets.workClass(event.workClass()).orElseThrow(),
                        ReplayFleet.POOL,
                        event.promptTokens(),
                        event.outputTokens(),
                        blocks(event, mNumber),
                        event.repeat(),
                        now);
        mTally.submitted(call);
        mCores.get(mNumber % mCores.size()).submit(call);
        mNumber++;
    }

    private static List<Long> blocks(TraceEvent event, int number) {
        List<Long> blocks = new ArrayList<>();
        int shared = event.prefixTokens() / EngineProfile.TOKENS_PER_BLOCK;
        int all = event.promptTokens() / EngineProfile.TOKENS_PER_BLOCK;
        for (int i = 0; i < all; i++) {
            String owner = i < shared ? event.team() + "/" + event.prefix() : "call-" + number;
            blocks.add(Digests.placementHash(owner + "#" + i));
        }
        return blocks;
    }

    private void carryOut(DispatchCore core, Decision decision, long now) {
        if (decision instanceof Decision.Refused) {
            mTally.refused(decision.call());
            return;
        }
        Decision.Assigned assigned = (Decision.Assigned) decision;
        Call call = assigned.call();
        EngineJob.Scope scope =
                assigned.isSplit() ? EngineJob.Scope.PREFILL_ONLY : EngineJob.Scope.WHOLE;
        EngineJob job = job(call, scope);
        ReplayEngine engine = mEngines.get(assigned.prefillEndpoint());
        RunningCall running = new RunningCall(core, assigned, job);
        mRunning.add(running);
        mTally.assigned(assigned, engine);
        if (engine.isGone() || engine.model().isChanging()) {
            running.mFailed = true;
        } else {
            engine.model().submit(job);
        }
    }

    private static EngineJob job(Call call, EngineJob.Scope scope) {
        return EngineJob.create(
                call.identifier(),
                call.workClass().kind().enginePriority(),
                call.promptTokens(),
                call.outputTokens(),
                call.blocks(),
                scope);
    }

    private void observe(long now) {
        for (Iterator<RunningCall> running = mRunning.iterator(); running.hasNext(); ) {
            RunningCall call = running.next();
            if (call.mFailed || call.mJob.isAborted()) {
                running.remove();
                fail(call, now);
            } else if (call.advance(now)) {
                running.remove();
                mTally.answered(call.call(), call.mFirstTokenMillis, now);
                call.mCore.recordEnd(
                        call.call().identifier(),
                        Outcome.COMPLETED,
                        call.call().outputTokens(),
                        now);
            }
        }
    }

    /** A call without a first token is tried again elsewhere, as entries do. */
    private void fail(RunningCall call, long now) {
        String identifier = call.call().identifier();
        call.mCore.recordEnd(identifier, Outcome.FAILED, 0, now);
        int attempts = mAttempts.merge(identifier, 1, Integer::sum);
        if (call.mFirstTokenMillis < 0 && attempts < 3) {
            call.mCore.submit(call.call());
        } else {
            mTally.failed(call.call());
        }
    }

    private void reportLoads(long now) {
        for (ReplayEngine engine : mEngines.values()) {
            engine.takeReport(now);
            LoadReport report = engine.report(now, mLagMillis);
            for (DispatchCore core : mCores) {
                if (engine.isGone()) {
                    core.markLeaving(engine.description().name());
                } else {
                    core.recordLoad(engine.description().name(), report, mLagMillis);
                }
            }
        }
    }

    private void decideRoles(long now) {
        if (mDraining.isPresent()) {
            proceedRoleChange(mDraining.get(), now);
            return;
        }
        Demand forecast = Demand.NONE;
        for (DispatchCore core : mCores) {
            Demand own =
                    core.demandMeter(ReplayFleet.POOL)
                            .forecast(EngineProfile.standard().roleChangeMillis(), now);
            forecast = forecast.plus(own.promptTokens(), own.outputTokens());
        }
        List<EndpointView> views = mCores.get(0).endpoints();
        mDraining = mRoles.decide(views, forecast, now);
        mDrainingSince = now;
        mDraining.ifPresent(
                change -> mCores.forEach(core -> core.setDrained(change.endpoint(), true)));
    }

    private void proceedRoleChange(RoleChange change, long now) {
        ReplayEngine engine = mEngines.get(change.endpoint());
        boolean empty = mCores.stream().allMatch(core -> core.ownRequests(change.endpoint()) == 0);
        boolean over = engine.isGone() || now - mDrainingSince > DRAIN_MILLIS;
        if (empty && !over && engine.model().role() != change.role()) {
            engine.model().changeRole(change.role());
            engine.countRoleChange();
            mTally.roleChanged(change, now);
        }
        boolean done = engine.model().role() == change.role() && !engine.model().isChanging();
        if (done || over) {
            mCores.forEach(core -> core.setDrained(change.endpoint(), false));
            mDraining = Optional.empty();
        }
    }

    private int waiting() {
        return mCores.stream().mapToInt(core -> core.queueLength(ReplayFleet.POOL)).sum();
    }

    /** A call that was assigned. */
    private final class RunningCall {
        private final DispatchCore mCore;
        private final Decision.Assigned mAssigned;
        private EngineJob mJob;
        private long mFirstTokenMillis = -1;
        private long mMoveUntilMillis = -1;
        private boolean mFailed;

        RunningCall(DispatchCore core, Decision.Assigned assigned, EngineJob job) {
            mCore = core;
            mAssigned = assigned;
            mJob = job;
        }

        Call call() {
            return mAssigned.call();
        }

        /** Takes note of progress; returns whether the call is answered. */
        boolean advance(long now) {
            if (mMoveUntilMillis >= 0) {
                moveOn(now);
                return false;
            }
            if (mFirstTokenMillis < 0 && mJob.firstTokenMillis() >= 0) {
                mCore.recordFirstToken(call().identifier(), now);
                if (!mAssigned.isSplit()) {
                    mFirstTokenMillis = now;
                }
            }
            boolean promptRead = mAssigned.isSplit() && mFirstTokenMillis < 0 && mJob.isDone();
            if (promptRead) {
                mFirstTokenMillis = now;
                mMoveUntilMillis =
                        now
                                + (long)
                                        (KV_MOVE_BASE_MILLIS
                                                + call().promptTokens() * KV_MOVE_MILLIS_PER_TOKEN);
                return false;
            }
            return mJob.isDone();
        }

        private void moveOn(long now) {
            if (now >= mMoveUntilMillis) {
                mMoveUntilMillis = -1;
                ReplayEngine engine = mEngines.get(mAssigned.endpoint());
                mJob = job(call(), EngineJob.Scope.DECODE_ONLY);
                if (engine.isGone() || engine.model().isChanging()) {
                    mFailed = true;
                } else {
                    engine.model().submit(mJob);
                }
            }
        }
    }
}
