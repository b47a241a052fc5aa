package org.vanilladoor.gateway;

import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.FailureCollector;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.CallCost;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.quarantine.PromptVerdict;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.Route;
import org.vanilladoor.transport.FrontExchange;

/**
 * Executes one request: queues it, has its prompt prefilled, runs it and forwards the response.
 *
 * <p>Invariants: the request is done exactly when its {@link CallerResponse} has ended, at its
 * deadline at the latest; a step that fails, in whatever way, ends the request. A request that may
 * not run twice is sent again only if its endpoint stated that it has not run it, or if none of it
 * was sent. A retryable refusal is given only if no endpoint can still run the request. Confined to
 * the control thread.
 */
final class RequestExecution {
    /** Prompts longer than this many tokens are prefilled on a separate engine. */
    private static final long SEPARATE_PREFILL_THRESHOLD_TOKENS = 600;

    /** Connect timeout; within a region, connecting takes a few milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 300;

    /** Time limit of a prefill call, as a multiple of the route's latency objective. */
    private static final int PREFILL_TIMEOUT_OBJECTIVES = 5;

    /** Time that a response takes in addition to the work of its endpoint. */
    private static final long RESPONSE_OVERHEAD_MILLIS = 30;

    private final GatewayContext mContext;
    private final CallerResponse mResponse;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final Optional<AuthorizedTeam> mTeam;
    private final String mService;
    private final long mDeadlineMillis;
    private final RequestLog mLog;
    private final AttemptBudget mAttemptBudget;
    private final EndpointChoice mChoice;
    private final PrefillLoad mPrefillLoad;
    private final RequestAdmission mAdmission;
    private final RequestProgress mProgress;
    private final KvCacheSlot mKvCache = KvCacheSlot.empty();
    private Runnable mOnEnd = () -> {};
    private WaitQueue.QueuedRequest mQueuedRequest;
    private EndpointExchange mCall;
    private boolean mSkipSeparatePrefill;
    private boolean mFinished;

    RequestExecution(
            GatewayContext context,
            FrontExchange exchange,
            CallerRequest request,
            Route route,
            Optional<AuthorizedTeam> team) {
        mContext = context;
        mResponse = CallerResponse.to(context, exchange);
        mRequest = request;
        mLog = new RequestLog(request.identifier());
        mRoute = route;
        mProgress = RequestProgress.start(request, route);
        mTeam = team;
        mService = route.service(context.random().nextDouble());
        mAttemptBudget =
                AttemptBudget.create(
                        context.retryBudgets().forService(mService),
                        context.state()::vmCount,
                        context.metrics());
        mChoice = EndpointChoice.create(context, request, route, mService);
        mAdmission = RequestAdmission.of(context.allowances(), request, team);
        mDeadlineMillis = mProgress.deadlineMillis();
        mPrefillLoad = PrefillLoad.create(context.load(), mService, mProgress.dueMillis(route));
    }

    /** Starts; the action runs once the request has its response or the caller has disconnected. */
    void start(Runnable onEnd) {
        mOnEnd = onEnd;
        runStep(
                () -> {
                    long nowMillis = MonotonicClock.nowMillis();
                    mResponse.limitTime(
                            Math.max(0, mDeadlineMillis - nowMillis),
                            () -> runStep(this::onTimeout));
                    mResponse.onDisconnect(() -> runStep(this::onCallerDisconnected));
                    mAdmission.start(
                            () -> runStep(this::beginFirstAttempt),
                            (millisUntilRoom, reason) ->
                                    runStep(() -> refuseOverAllowance(millisUntilRoom, reason)));
                });
    }

    /**
     * Runs a step of this request. Every event that concerns the request comes through this method,
     * so that a failure of any kind ends the request instead of leaving it without a response.
     */
    void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            endAfterFailure(e);
        }
    }

    /**
     * Ends the request after a failure that no other code has handled.
     *
     * <p>What an endpoint has done by then is unknown, so that nothing is promised to the caller.
     */
    void endAfterFailure(Throwable failure) {
        FailureCollector steps = FailureCollector.create();
        steps.run(() -> mLog.writeFailed(failure));
        steps.run(this::abandonCall);
        mCall = null;
        steps.run(this::markPossiblyRunAfterFailure);
        if (!isDone()) {
            steps.run(() -> mResponse.fail(failure));
        }
        steps.run(() -> finish(CallerResponse.End.failed(failure), failure.toString()));
        steps.failure().ifPresent(mLog::writeFailed);
    }

    private void markPossiblyRunAfterFailure() {
        if (mAttemptBudget.calls() > 0) {
            mProgress.markPossiblyRun();
        }
    }

    private void beginFirstAttempt() {
        long nowMillis = MonotonicClock.nowMillis();
        mContext.retryBudgets().forService(mService).recordFirstAttempt(nowMillis);
        proceed();
    }

    private void refuseOverAllowance(long millisUntilRoom, String reason) {
        finish(mResponse.refuse(Refusal.OVER_ALLOWANCE, millisUntilRoom), reason);
    }

    /** Starts the next step: separate prefill, waiting for a prefill engine, or the run. */
    private void proceed() {
        if (isDone() || endIfNotSendable()) {
            return;
        }
        boolean isSeparate = needsSeparatePrefill();
        mPrefillLoad.setPrefilling(isSeparate);
        boolean isTurnOfOthers = mChoice.isByCost() && waitQueue().size() > 0;
        if (!isSeparate && !mChoice.isOutOfMemory(mKvCache)) {
            startRun();
        } else if (!isSeparate || isTurnOfOthers || !tryStartPrefill()) {
            enqueue();
            if (isTurnOfOthers) {
                waitQueue().advance(MonotonicClock.nowMillis());
            }
        }
    }

    /** Ends the request if no endpoint may be chosen for it, and returns whether it did. */
    private boolean endIfNotSendable() {
        long nowMillis = MonotonicClock.nowMillis();
        PromptVerdict verdict = mContext.promptGuard().admit(sharedParts(), nowMillis);
        if (verdict == PromptVerdict.QUARANTINED) {
            endWithFailure(Refusal.QUARANTINED, "a part of the prompt crashes engines");
            return true;
        }
        // A trial has to reach as few engines as possible, and a stream that pauses has no time.
        mSkipSeparatePrefill |= verdict == PromptVerdict.TRIAL || isStreaming();
        if (!mChoice.hasEndpoint()) {
            endWithNoEndpoint();
            return true;
        }
        return false;
    }

    private boolean needsSeparatePrefill() {
        long tokens = mRequest.prompt().map(PromptMetadata::promptTokens).orElse(0L);
        return mKvCache.kept().isEmpty()
                && !mSkipSeparatePrefill
                && tokens > SEPARATE_PREFILL_THRESHOLD_TOKENS
                && mChoice.hasPrefillEngines()
                && !mChoice.isOwnPrefillSooner();
    }

    private void enqueue() {
        if (mQueuedRequest != null) {
            return;
        }
        // Half the objective is left for the work that follows the wait.
        long latestMillis =
                mDeadlineMillis - RESPONSE_OVERHEAD_MILLIS - mRoute.objectiveMillis() / 2;
        long nowMillis = MonotonicClock.nowMillis();
        if (nowMillis >= latestMillis) {
            endWithFailure(Refusal.OVERLOADED, "no engine has room before the deadline");
            return;
        }
        mQueuedRequest =
                waitQueue()
                        .add(
                                Urgency.of(mRoute, mTeam),
                                mProgress.arrivedMillis() + mRoute.objectiveMillis(),
                                latestMillis,
                                new QueuedAttempt());
        mPrefillLoad.startWaiting();
    }

    private WaitQueue waitQueue() {
        return mContext.waitQueues().forService(mService);
    }

    private boolean tryStartPrefill() {
        long nowMillis = MonotonicClock.nowMillis();
        Optional<Endpoint> prefillEngine = mChoice.prefillEngine();
        if (prefillEngine.isEmpty()) {
            return false;
        }
        if (!mAttemptBudget.tryAcquireNextCall(EndpointCall.Stage.READ_PROMPT, nowMillis)) {
            mSkipSeparatePrefill = true;
            proceed();
            return true;
        }
        waitQueue().recordDeparture(nowMillis);
        send(prefillEngine.get(), EndpointCall.Stage.READ_PROMPT);
        EndpointExchange call = mCall;
        long timeoutMillis = PREFILL_TIMEOUT_OBJECTIVES * mRoute.objectiveMillis();
        call.limitTime(timeoutMillis, () -> runStep(() -> onPrefillTimeout(call)));
        return true;
    }

    private void onPrefillTimeout(EndpointExchange call) {
        if (!isDone() && mCall == call) {
            abandonCall();
            mContext.placement().recordUnreachable(call.endpoint(), MonotonicClock.nowMillis());
            retryElsewhere(call.endpoint(), "the prefill timed out");
        }
    }

    private void startRun() {
        long nowMillis = MonotonicClock.nowMillis();
        Optional<Endpoint> endpoint = mChoice.runEndpoint(mKvCache);
        if (endpoint.isEmpty()) {
            endWithNoEndpoint();
            return;
        }
        if (!mAttemptBudget.tryAcquireNextCall(EndpointCall.Stage.RUN, nowMillis)) {
            endWithFailure(Refusal.NOT_RUN, "the retry budget is used up");
            return;
        }
        mProgress.events().startRun();
        send(endpoint.get(), EndpointCall.Stage.RUN);
    }

    /** Ends the request after all endpoints have rejected it, or because the service has none. */
    private void endWithNoEndpoint() {
        endWithFailure(
                mChoice.refusalWithoutEndpoint(), "no endpoint is available for the request");
    }

    private void send(Endpoint endpoint, EndpointCall.Stage stage) {
        mAttemptBudget.recordSent(stage);
        mContext.metrics().countCall(stage);
        long nowMillis = MonotonicClock.nowMillis();
        CallCost cost = mChoice.openCall(endpoint, stage, mKvCache);
        EndpointCall call =
                new EndpointCall(
                        endpoint,
                        stage,
                        Math.max(1, mDeadlineMillis - nowMillis),
                        mTeam.map(AuthorizedTeam::name),
                        Urgency.of(mRoute, mTeam),
                        stage == EndpointCall.Stage.RUN ? mKvCache.takeForCall() : Optional.empty(),
                        mProgress.events().lastIdentifier().or(mRequest::lastEventIdentifier));
        mLog.writeSent(call, mAttemptBudget.calls(), nowMillis - mProgress.arrivedMillis(), cost);
        mCall =
                EndpointExchange.send(
                        mContext,
                        mRequest,
                        call,
                        cost,
                        CONNECT_TIMEOUT_MILLIS,
                        new EndpointResponseHandler(mContext, this, stage, cost));
    }

    void retryElsewhere(Endpoint endpoint, String reason) {
        mCall = null;
        mChoice.exclude(endpoint);
        mLog.writeRetriedElsewhere(endpoint, reason);
        if (MonotonicClock.nowMillis() + RESPONSE_OVERHEAD_MILLIS >= mDeadlineMillis
                || mAttemptBudget.isExhausted()) {
            endWithFailure(Refusal.NOT_RUN, reason);
        } else {
            proceed();
        }
    }

    /**
     * Ends the request after a failure.
     *
     * <p>A response that has started is cut off. Otherwise the caller gets the refusal, or {@link
     * Refusal#OUTCOME_UNKNOWN} if an endpoint may have run the request.
     */
    void endWithFailure(Refusal refusal, String reason) {
        refuse(mProgress.mayHaveRun() ? Refusal.OUTCOME_UNKNOWN : refusal, reason);
    }

    /** Ends the request with an endpoint's response; a stream that has begun is cut off. */
    void endWithResponse(HttpResponse endpointHead, byte[] body, String reason) {
        finish(mResponse.respond(endpointHead, body), reason);
    }

    /** Ends the request with the end of its stream. */
    void completeStream(String reason) {
        finish(mResponse.complete(), reason);
    }

    /** Forwards a part of the response of the endpoint that sent the given head. */
    void forward(HttpResponse endpointHead, byte[] content) {
        mResponse.forward(endpointHead, content);
        mCall.pauseWhileBacklogged(mResponse);
    }

    private void refuse(Refusal refusal, String reason) {
        mPrefillLoad.recordRefusal(refusal);
        leaveQueue();
        long retryAfterMillis =
                mChoice.retryAfterMillis(
                        refusal, waitQueue().drainMillis(MonotonicClock.nowMillis()));
        finish(mResponse.refuse(refusal, retryAfterMillis), reason);
    }

    private void onTimeout() {
        if (isDone()) {
            return;
        }
        boolean isRouteTimeout = mRoute.timeoutMillis() <= mRequest.callerTimeoutMillis();
        String reason =
                (isRouteTimeout ? "the route's time" : "the caller's patience") + " is over";
        abandonCall();
        refuse(mProgress.mayHaveRun() ? Refusal.TIMED_OUT : Refusal.OVERLOADED, reason);
    }

    /** Ends the request because its endpoint takes longer than the process may live. */
    void endBeforeStop() {
        runStep(
                () -> {
                    abandonCall();
                    endWithFailure(Refusal.STOPPING, "the process ends");
                });
    }

    private void abandonCall() {
        if (mCall != null) {
            // Abandoning comes first: only then is it final whether the call has been sent.
            mCall.abandon();
            if (mCall.isSent()) {
                mProgress.markPossiblyDone(mCall.stage());
            }
            mCall = null;
        }
    }

    private void onCallerDisconnected() {
        if (isDone()) {
            return;
        }
        abandonCall();
        mContext.metrics().count("requests.abandoned");
        finish(mResponse.abandon(), "the caller disconnected");
    }

    /** Accounts for the request, whose response has ended, once. */
    private void finish(CallerResponse.End end, String reason) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        long tookMillis = MonotonicClock.nowMillis() - mProgress.arrivedMillis();
        FailureCollector steps = FailureCollector.create();
        steps.run(() -> mPrefillLoad.setPrefilling(false));
        steps.run(this::leaveQueue);
        steps.run(() -> mAdmission.end(mProgress.mayHaveWorked()));
        steps.run(() -> mKvCache.release(mContext, CONNECT_TIMEOUT_MILLIS));
        steps.run(() -> recordDuration(tookMillis));
        steps.run(() -> mLog.writeEnded(mRoute, end.outcome(), mAttemptBudget, tookMillis, reason));
        steps.run(mOnEnd);
        steps.run(() -> waitQueue().advance(MonotonicClock.nowMillis()));
        steps.rethrow();
    }

    private void recordDuration(long millis) {
        mContext.metrics().recordDuration("requests.millis." + mRoute.kind(), millis);
    }

    private void leaveQueue() {
        if (mQueuedRequest != null) {
            waitQueue().remove(mQueuedRequest);
            mQueuedRequest = null;
            mPrefillLoad.endWaiting(MonotonicClock.nowMillis());
        }
    }

    Route route() {
        return mRoute;
    }

    /** Returns whether the caller has got events of a stream that goes on. */
    boolean isStreaming() {
        return mResponse.isStreaming();
    }

    /** Clears the current call, which has ended, and returns its endpoint. */
    Endpoint detachCall() {
        Endpoint endpoint = mCall.endpoint();
        mCall = null;
        return endpoint;
    }

    RequestProgress progress() {
        return mProgress;
    }

    /** Returns the KV cache of the prompt, while no engine has fetched it. */
    KvCacheSlot kvCache() {
        return mKvCache;
    }

    RequestLog log() {
        return mLog;
    }

    /** Returns the identifiers of the prompt's parts that other requests may share. */
    List<String> sharedParts() {
        return mRequest.sharedPromptParts();
    }

    /** Returns whether the request has got its response or its caller has disconnected. */
    boolean isDone() {
        return mResponse.isEnded();
    }

    /** Returns the number of calls and their retry budget. */
    AttemptBudget attemptBudget() {
        return mAttemptBudget;
    }

    /** Continues with the run after a separate prefill. */
    void onPrefillComplete(KvCacheReference kvCache) {
        mAttemptBudget.recordPrefillAccepted();
        mPrefillLoad.recordPrefilled();
        mKvCache.keep(kvCache);
        proceed();
        waitQueue().advance(MonotonicClock.nowMillis());
    }

    void countStartedRequest() {
        mTeam.ifPresent(team -> mContext.usage().countStartedRequest(team.name()));
    }

    /** Dispatches this request from the wait queue, or abandons it. */
    private final class QueuedAttempt implements WaitQueue.Attempt {
        @Override
        public boolean tryDispatch() {
            try {
                return tryStart();
            } catch (RuntimeException | Error e) {
                endAfterFailure(e);
                return true;
            }
        }

        private boolean tryStart() {
            if (isDone() || endIfNotSendable()) {
                return true;
            }
            if (needsSeparatePrefill() ? !tryStartPrefill() : mChoice.isOutOfMemory(mKvCache)) {
                return false;
            }
            mQueuedRequest = null;
            mPrefillLoad.endWaiting(MonotonicClock.nowMillis());
            if (mCall == null && !isDone()) {
                mPrefillLoad.setPrefilling(false);
                if (mChoice.isByCost()) {
                    waitQueue().recordDeparture(MonotonicClock.nowMillis());
                }
                startRun();
            }
            return true;
        }

        /** A request that needs much memory lets others pass in the first half of its time. */
        @Override
        public boolean blocksOthers() {
            try {
                return isBlockingOthers();
            } catch (RuntimeException | Error e) {
                endAfterFailure(e);
                return false;
            }
        }

        private boolean isBlockingOthers() {
            long halfTimeMillis = (mProgress.arrivedMillis() + mDeadlineMillis) / 2;
            return MonotonicClock.nowMillis() > halfTimeMillis || !mChoice.isOutOfMemory(mKvCache);
        }

        @Override
        public void abandon(int ahead, long turnMillis) {
            runStep(() -> endWithoutTurn(ahead, turnMillis));
        }

        private void endWithoutTurn(int ahead, long turnMillis) {
            mQueuedRequest = null;
            mPrefillLoad.endWaiting(MonotonicClock.nowMillis());
            if (!isDone()) {
                endWithFailure(
                        Refusal.OVERLOADED,
                        "a prefill engine would have room in %d ms, after %d other requests"
                                .formatted(turnMillis, ahead));
            }
        }
    }
}
