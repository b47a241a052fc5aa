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
 * Replays a trace of calls through the dispatch and role cores on a virtual clock.
 *
 * <p>Engines are simulated by {@link EngineModel}. Each entry has its own dispatch core and learns
 * about the calls of other entries only from load reports, which lag. Calls are submitted to the
 * entries in turn. Times are in milliseconds from the beginning of the trace. Invariant: the same
 * trace, fleet and policies give the same decisions. Not safe for use by several threads.
 */
public final class Replay {
    private static final long STEP_MILLIS = 10;
    private static final long LOAD_REPORT_INTERVAL_MILLIS = 500;
    private static final long DEFAULT_LOAD_REPORT_LAG_MILLIS = 500;
    private static final long ROLE_DECISION_INTERVAL_MILLIS = 1_000;

    /** A role change, including the drain before it, is abandoned after this time. */
    private static final long MAXIMUM_ROLE_CHANGE_MILLIS = 60_000;

    /** Transferring a KV cache takes {@link #KV_TRANSFER_BASE_MILLIS} and this per prompt token. */
    private static final double KV_TRANSFER_MILLIS_PER_TOKEN = 0.005;

    private static final double KV_TRANSFER_BASE_MILLIS = 5;

    /** The replay ends this long after the last event even if calls are still in progress. */
    private static final long MAXIMUM_TAIL_MILLIS = 130_000;

    /** A call is assigned at most this many times. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final Targets mTargets;
    private final List<DispatchCore> mDispatchCores = new ArrayList<>();
    private final Map<String, ReplayEngine> mEngines = new TreeMap<>();
    private final RoleCore mRoleCore;
    private final List<RunningCall> mRunningCalls = new ArrayList<>();
    private final ReplayTally mTally = ReplayTally.create();
    private final Map<String, Integer> mFailedAttempts = new HashMap<>();
    private Optional<RoleChange> mRoleChange = Optional.empty();
    private long mRoleChangeStartMillis;
    private long mLoadReportLagMillis = DEFAULT_LOAD_REPORT_LAG_MILLIS;
    private int mNextCallNumber;

    private Replay(ReplayFleet fleet, Targets targets, Policies policies) {
        mTargets = targets;
        mRoleCore = RoleCore.create(policies.roles(), EngineProfile.standard());
        var descriptions = fleet.engineDescriptions();
        for (int i = 0; i < descriptions.size(); i++) {
            EngineModel model =
                    EngineModel.create(EngineProfile.standard(), fleet.initialRole(i), 0);
            mEngines.put(
                    descriptions.get(i).name(), ReplayEngine.create(descriptions.get(i), model));
        }
        for (int i = 0; i < fleet.entryCount(); i++) {
            String domain = fleet.failureDomains().get(i % fleet.failureDomains().size());
            DispatchCore core = DispatchCore.create(domain, policies, new SplittableRandom(i));
            core.setTargets(targets);
            core.setEndpoints(descriptions);
            mDispatchCores.add(core);
        }
    }

    /** Replays a trace, whose events are in the order of time, and returns its results. */
    public static ReplayTally run(
            List<TraceEvent> trace, ReplayFleet fleet, Targets targets, Policies policies) {
        Replay replay = new Replay(fleet, targets, policies);
        replay.runTrace(trace);
        return replay.mTally;
    }

    private void runTrace(List<TraceEvent> trace) {
        deliverLoadReports(0);
        int nextEvent = 0;
        long end = trace.get(trace.size() - 1).at() + MAXIMUM_TAIL_MILLIS;
        for (long now = 0; now <= end; now += STEP_MILLIS) {
            while (nextEvent < trace.size() && trace.get(nextEvent).at() <= now) {
                applyEvent(trace.get(nextEvent), now);
                nextEvent++;
            }
            step(now);
            if (nextEvent == trace.size() && mRunningCalls.isEmpty() && queuedCalls() == 0) {
                break;
            }
        }
    }

    private void step(long now) {
        for (ReplayEngine engine : mEngines.values()) {
            engine.advanceTo(now);
            mTally.addSpend(engine, STEP_MILLIS);
        }
        if (now % LOAD_REPORT_INTERVAL_MILLIS == 0) {
            deliverLoadReports(now);
        }
        updateRunningCalls(now);
        if (now % ROLE_DECISION_INTERVAL_MILLIS == 0) {
            updateRoles(now);
        }
        for (DispatchCore core : mDispatchCores) {
            core.decide(now).forEach(decision -> applyDecision(core, decision, now));
        }
        mTally.recordSample(now, mEngines.values(), queuedCalls());
    }

    private void applyEvent(TraceEvent event, long now) {
        switch (event.kind()) {
            case CALL -> submitCall(event, now);
            case RECLAIM ->
                    mEngines.values().stream()
                            .filter(engine -> engine.description().reclaimable())
                            .filter(
                                    engine ->
                                            engine.description()
                                                    .failureDomain()
                                                    .equals(event.target()))
                            .forEach(engine -> engine.scheduleTermination(now + event.millis()));
            case LOSE_ENDPOINT -> mEngines.get(event.target()).terminate();
            case LAG_LOADS -> mLoadReportLagMillis = event.millis();
        }
    }

    private void submitCall(TraceEvent event, long now) {
        Call call =
                new Call(
                        "call-" + mNextCallNumber,
                        event.team(),
                        mTargets.workClass(event.workClass()).orElseThrow(),
                        ReplayFleet.POOL,
                        event.promptTokens(),
                        event.outputTokens(),
                        blockDigests(event, mNextCallNumber),
                        event.repeat(),
                        now);
        mTally.recordSubmission(call);
        mDispatchCores.get(mNextCallNumber % mDispatchCores.size()).submit(call);
        mNextCallNumber++;
    }

    /**
     * Returns digests of the prompt's blocks; only blocks of a shared prefix occur in other calls.
     */
    private static List<Long> blockDigests(TraceEvent event, int number) {
        List<Long> blocks = new ArrayList<>();
        int sharedBlocks = event.prefixTokens() / EngineProfile.TOKENS_PER_BLOCK;
        int promptBlocks = event.promptTokens() / EngineProfile.TOKENS_PER_BLOCK;
        for (int i = 0; i < promptBlocks; i++) {
            String owner =
                    i < sharedBlocks ? event.team() + "/" + event.prefix() : "call-" + number;
            blocks.add(Digests.placementHash(owner + "#" + i));
        }
        return blocks;
    }

    private void applyDecision(DispatchCore core, Decision decision, long now) {
        if (decision instanceof Decision.Refused) {
            mTally.recordRefusal(decision.call());
            return;
        }
        Decision.Assigned assigned = (Decision.Assigned) decision;
        Call call = assigned.call();
        EngineJob.Scope scope =
                assigned.isSplit() ? EngineJob.Scope.PREFILL_ONLY : EngineJob.Scope.WHOLE;
        EngineJob job = createJob(call, scope);
        ReplayEngine engine = mEngines.get(assigned.prefillEndpoint());
        RunningCall running = new RunningCall(core, assigned, job);
        mRunningCalls.add(running);
        mTally.recordAssignment(assigned, engine);
        if (engine.isTerminated() || engine.model().isChanging()) {
            running.mFailed = true;
        } else {
            engine.model().submit(job);
        }
    }

    private static EngineJob createJob(Call call, EngineJob.Scope scope) {
        return EngineJob.create(
                call.identifier(),
                call.workClass().kind().enginePriority(),
                call.promptTokens(),
                call.outputTokens(),
                call.blocks(),
                scope);
    }

    private void updateRunningCalls(long now) {
        for (Iterator<RunningCall> running = mRunningCalls.iterator(); running.hasNext(); ) {
            RunningCall call = running.next();
            if (call.mFailed || call.mJob.isAborted()) {
                running.remove();
                handleFailure(call, now);
            } else if (call.advance(now)) {
                running.remove();
                mTally.recordCompletion(call.call(), call.mFirstTokenMillis, now);
                call.mCore.recordEnd(
                        call.call().identifier(),
                        Outcome.COMPLETED,
                        call.call().outputTokens(),
                        now);
            }
        }
    }

    /**
     * Submits a failed call again if no output was sent yet and attempts are left, as entries do;
     * otherwise counts it as failed.
     */
    private void handleFailure(RunningCall call, long now) {
        String identifier = call.call().identifier();
        call.mCore.recordEnd(identifier, Outcome.FAILED, 0, now);
        int failedAttempts = mFailedAttempts.merge(identifier, 1, Integer::sum);
        if (call.mFirstTokenMillis < 0 && failedAttempts < MAXIMUM_ATTEMPTS) {
            call.mCore.submit(call.call());
        } else {
            mTally.recordFailure(call.call());
        }
    }

    private void deliverLoadReports(long now) {
        for (ReplayEngine engine : mEngines.values()) {
            engine.recordLoad(now);
            LoadReport report = engine.laggedReport(now, mLoadReportLagMillis);
            for (DispatchCore core : mDispatchCores) {
                if (engine.isTerminated()) {
                    core.markLeaving(engine.description().name());
                } else {
                    core.recordLoad(engine.description().name(), report, mLoadReportLagMillis);
                }
            }
        }
    }

    /** Decides about a role change, or continues the one in progress. */
    private void updateRoles(long now) {
        if (mRoleChange.isPresent()) {
            continueRoleChange(mRoleChange.get(), now);
            return;
        }
        Demand forecast = Demand.NONE;
        for (DispatchCore core : mDispatchCores) {
            Demand entryForecast =
                    core.demandMeter(ReplayFleet.POOL)
                            .forecast(EngineProfile.standard().roleChangeMillis(), now);
            forecast = forecast.plus(entryForecast.promptTokens(), entryForecast.outputTokens());
        }
        List<EndpointView> views = mDispatchCores.get(0).endpoints();
        mRoleChange = mRoleCore.decide(views, forecast, now);
        mRoleChangeStartMillis = now;
        mRoleChange.ifPresent(
                change -> mDispatchCores.forEach(core -> core.setDrained(change.endpoint(), true)));
    }

    /**
     * Starts the role change once the drained engine has no calls left, and ends it when it is
     * done.
     */
    private void continueRoleChange(RoleChange change, long now) {
        ReplayEngine engine = mEngines.get(change.endpoint());
        boolean idle =
                mDispatchCores.stream().allMatch(core -> core.ownRequests(change.endpoint()) == 0);
        boolean abandoned =
                engine.isTerminated() || now - mRoleChangeStartMillis > MAXIMUM_ROLE_CHANGE_MILLIS;
        if (idle && !abandoned && engine.model().role() != change.role()) {
            engine.model().changeRole(change.role());
            engine.incrementRoleChanges();
            mTally.recordRoleChange(change, now);
        }
        boolean completed = engine.model().role() == change.role() && !engine.model().isChanging();
        if (completed || abandoned) {
            mDispatchCores.forEach(core -> core.setDrained(change.endpoint(), false));
            mRoleChange = Optional.empty();
        }
    }

    private int queuedCalls() {
        return mDispatchCores.stream().mapToInt(core -> core.queueLength(ReplayFleet.POOL)).sum();
    }

    /** A call that was assigned and has not ended. */
    private final class RunningCall {
        private final DispatchCore mCore;
        private final Decision.Assigned mAssigned;
        private EngineJob mJob;
        private long mFirstTokenMillis = -1;
        private long mKvTransferEndMillis = -1;
        private boolean mFailed;

        RunningCall(DispatchCore core, Decision.Assigned assigned, EngineJob job) {
            mCore = core;
            mAssigned = assigned;
            mJob = job;
        }

        Call call() {
            return mAssigned.call();
        }

        /**
         * Records the progress of the call and returns whether it is complete. A split call
         * continues as a decode job at its endpoint once its prefill is done and its KV cache is
         * transferred.
         */
        boolean advance(long now) {
            if (mKvTransferEndMillis >= 0) {
                completeKvTransfer(now);
                return false;
            }
            if (mFirstTokenMillis < 0 && mJob.firstTokenMillis() >= 0) {
                mCore.recordFirstToken(call().identifier(), now);
                if (!mAssigned.isSplit()) {
                    mFirstTokenMillis = now;
                }
            }
            boolean prefillDone = mAssigned.isSplit() && mFirstTokenMillis < 0 && mJob.isDone();
            if (prefillDone) {
                mFirstTokenMillis = now;
                mKvTransferEndMillis =
                        now
                                + (long)
                                        (KV_TRANSFER_BASE_MILLIS
                                                + call().promptTokens()
                                                        * KV_TRANSFER_MILLIS_PER_TOKEN);
                return false;
            }
            return mJob.isDone();
        }

        private void completeKvTransfer(long now) {
            if (now >= mKvTransferEndMillis) {
                mKvTransferEndMillis = -1;
                ReplayEngine engine = mEngines.get(mAssigned.endpoint());
                mJob = createJob(call(), EngineJob.Scope.DECODE_ONLY);
                if (engine.isTerminated() || engine.model().isChanging()) {
                    mFailed = true;
                } else {
                    engine.model().submit(mJob);
                }
            }
        }
    }
}
