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
    /** Time limit of a prefill call, as a multiple of the route's latency objective. */
    private static final int PREFILL_TIMEOUT_OBJECTIVES = 5;

    private final GatewayContext mContext;
    private final CallerResponse mResponse;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final Optional<AuthorizedTeam> mTeam;
    private final String mService;
    private final RequestLog mLog;
    private final AttemptBudget mAttemptBudget;
    private final StreamOrigin mOrigin;
    private final EndpointChoice mChoice;
    private final PrefillLoad mPrefillLoad;
    private final RequestAdmission mAdmission;
    private final PromptAdmission mPromptAdmission;
    private final RequestProgress mProgress;
    private final KvCacheSlot mKvCache = KvCacheSlot.empty();
    private Runnable mOnEnd = () -> {};
    private final CallSlot mCall = CallSlot.empty();
    private final QueuePlace mQueuePlace;
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
        mAttemptBudget = AttemptBudget.create(context, mService);
        mOrigin = StreamOrigin.create(context, mLog, request, route, mService);
        mChoice = EndpointChoice.create(context, request, route, mService, mOrigin);
        mAdmission = RequestAdmission.of(context.allowances(), request, team);
        mPromptAdmission = PromptAdmission.create(context, mLog, mProgress, sharedParts());
        mPrefillLoad = PrefillLoad.create(context.load(), mService, mProgress.dueMillis(route));
        mQueuePlace = QueuePlace.create(waitQueue(), mPrefillLoad);
    }

    /** Starts; the action runs once the request has its response or the caller has disconnected. */
    void start(Runnable onEnd) {
        mOnEnd = onEnd;
        runStep(this::awaitAdmission);
    }

    private void awaitAdmission() {
        long remainingMillis = Math.max(0, mProgress.deadlineMillis() - MonotonicClock.nowMillis());
        mResponse.limitTime(remainingMillis, () -> runStep(this::onTimeout));
        mResponse.onDisconnect(() -> runStep(this::onCallerDisconnected));
        mAdmission.start(
                () -> runStep(this::beginFirstAttempt),
                (millisUntilRoom, reason) ->
                        runStep(() -> refuse(Refusal.OVER_ALLOWANCE, millisUntilRoom, reason)));
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
        steps.run(() -> mCall.abandon(mProgress));
        if (mAttemptBudget.calls() > 0) {
            mProgress.markPossiblyRun();
        }
        if (!isDone()) {
            steps.run(() -> mResponse.fail(failure));
        }
        steps.run(() -> finish(CallerResponse.End.failed(failure), failure.toString()));
        steps.failure().ifPresent(mLog::writeFailed);
    }

    private void beginFirstAttempt() {
        mContext.retryBudgets().forService(mService).recordFirstAttempt(MonotonicClock.nowMillis());
        mOrigin.find(
                mProgress.latestLookupMillis(mRoute),
                () -> runStep(this::proceed),
                () -> runStep(() -> endWithFailure(Refusal.ORIGIN_UNKNOWN, StreamOrigin.UNKNOWN)));
    }

    /** Starts the next step: separate prefill, waiting for a prefill engine, or the run. */
    private void proceed() {
        if (isDone() || !mayBeSentNow()) {
            return;
        }
        boolean isSeparate = needsSeparatePrefill();
        mPrefillLoad.setPrefilling(isSeparate);
        boolean isTurnOfOthers = mChoice.isByCost() && waitQueue().size() > 0;
        if (!isSeparate && !isOutOfMemory()) {
            startRun();
        } else if (!isSeparate || isTurnOfOthers || !tryStartPrefill()) {
            enqueue();
            if (isTurnOfOthers) {
                waitQueue().advance(MonotonicClock.nowMillis());
            }
        }
    }

    /**
     * Returns whether an endpoint may be chosen for the request now; if not, the request has ended
     * or waits for the verdict on its prompt.
     */
    private boolean mayBeSentNow() {
        PromptVerdict verdict = mPromptAdmission.verdict();
        if (verdict == PromptVerdict.IN_DOUBT) {
            awaitVerdict();
            return false;
        }
        if (verdict == PromptVerdict.QUARANTINED) {
            endWithFailure(Refusal.QUARANTINED, "a part of the prompt crashes engines");
            return false;
        }
        // A trial has to reach as few engines as possible, and a stream that pauses has no time.
        mSkipSeparatePrefill |= verdict == PromptVerdict.TRIAL || isStreaming();
        if (!mChoice.hasEndpoint()) {
            endWithNoEndpoint();
            return false;
        }
        return true;
    }

    private void awaitVerdict() {
        mQueuePlace.leave();
        mPromptAdmission.await(
                () -> runStep(this::proceed),
                () -> runStep(() -> endWithFailure(Refusal.IN_DOUBT, "the prompt is in doubt")));
    }

    private boolean needsSeparatePrefill() {
        return !mSkipSeparatePrefill
                && mKvCache.kept().isEmpty()
                && mChoice.isSeparatePrefillSooner();
    }

    private void enqueue() {
        if (mQueuePlace.isTaken()) {
            return;
        }
        long latestMillis = mProgress.latestDispatchMillis(mRoute);
        if (MonotonicClock.nowMillis() >= latestMillis) {
            endWithFailure(Refusal.OVERLOADED, "no engine has room before the deadline");
            return;
        }
        mQueuePlace.take(
                Urgency.of(mRoute, mTeam),
                mProgress.dueMillis(mRoute),
                latestMillis,
                new QueuedExecution(this));
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
        EndpointExchange call = send(prefillEngine.get(), EndpointCall.Stage.READ_PROMPT);
        long timeoutMillis = PREFILL_TIMEOUT_OBJECTIVES * mRoute.objectiveMillis();
        call.limitTime(timeoutMillis, () -> runStep(() -> onPrefillTimeout(call)));
        return true;
    }

    private void onPrefillTimeout(EndpointExchange call) {
        if (!isDone() && mCall.holds(call)) {
            mCall.abandon(mProgress);
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
        endWithFailure(mChoice.refusalWithoutEndpoint(), mOrigin.reasonWithoutEndpoint());
    }

    private EndpointExchange send(Endpoint endpoint, EndpointCall.Stage stage) {
        mAttemptBudget.recordSent(stage);
        mContext.metrics().countCall(stage);
        long nowMillis = MonotonicClock.nowMillis();
        CallCost cost = mChoice.openCall(endpoint, stage, mKvCache);
        EndpointCall call =
                EndpointCall.of(endpoint, stage, mRequest, mProgress, mTeam, mRoute, mKvCache);
        mLog.writeSent(call, mAttemptBudget.calls(), nowMillis - mProgress.arrivedMillis(), cost);
        return mCall.set(
                EndpointExchange.send(
                        mContext,
                        mRequest,
                        call,
                        cost,
                        new EndpointResponseHandler(mContext, this, call, cost, mOrigin)));
    }

    void retryElsewhere(Endpoint endpoint, String reason) {
        mChoice.exclude(endpoint);
        mLog.writeRetriedElsewhere(endpoint, reason);
        if (!mProgress.hasTimeForAResponse() || mAttemptBudget.isExhausted()) {
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
        mQueuePlace.leave();
        long retryAfterMillis =
                mChoice.retryAfterMillis(
                        refusal, waitQueue().drainMillis(MonotonicClock.nowMillis()));
        refuse(refusal, retryAfterMillis, reason);
    }

    private void refuse(Refusal refusal, long retryAfterMillis, String reason) {
        finish(mResponse.refuse(refusal, retryAfterMillis), reason);
    }

    private void onTimeout() {
        if (isDone()) {
            return;
        }
        mCall.abandon(mProgress);
        refuse(
                mProgress.mayHaveRun() ? Refusal.TIMED_OUT : Refusal.OVERLOADED,
                RequestProgress.timeoutReason(mRequest, mRoute));
    }

    /** Ends the request because its endpoint takes longer than the process may live. */
    void endBeforeStop() {
        runStep(
                () -> {
                    mCall.abandon(mProgress);
                    endWithFailure(Refusal.STOPPING, "the process ends");
                });
    }

    private void onCallerDisconnected() {
        if (isDone()) {
            return;
        }
        mCall.abandon(mProgress);
        mContext.metrics().count("requests.abandoned");
        finish(mResponse.abandon(), "the caller disconnected");
    }

    /** Accounts for the request, whose response has ended, once. */
    private void finish(CallerResponse.End end, String reason) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        FailureCollector.runAll(
                () -> mPrefillLoad.setPrefilling(false),
                mQueuePlace::leave,
                mPromptAdmission::cancelWait,
                mOrigin::cancelFind,
                () -> mAdmission.end(mProgress.mayHaveWorked()),
                () -> mKvCache.release(mContext),
                () -> recordEnd(end, reason),
                mOnEnd,
                () -> waitQueue().advance(MonotonicClock.nowMillis()));
    }

    private void recordEnd(CallerResponse.End end, String reason) {
        long tookMillis = MonotonicClock.nowMillis() - mProgress.arrivedMillis();
        mContext.metrics().recordDuration("requests.millis." + mRoute.kind(), tookMillis);
        mLog.writeEnded(mRoute, end.outcome(), mAttemptBudget, tookMillis, reason);
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
        return mCall.detach();
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

    /** Starts the request from the wait queue; returns whether it has left the queue. */
    boolean tryStartQueued() {
        if (isDone() || !mayBeSentNow()) {
            return true;
        }
        if (needsSeparatePrefill() ? !tryStartPrefill() : isOutOfMemory()) {
            return false;
        }
        mQueuePlace.end();
        if (mCall.isEmpty() && !isDone()) {
            mPrefillLoad.setPrefilling(false);
            if (mChoice.isByCost()) {
                waitQueue().recordDeparture(MonotonicClock.nowMillis());
            }
            startRun();
        }
        return true;
    }

    /** Ends the request, which has left the wait queue, because its turn would come too late. */
    void endWithoutTurn(String reason) {
        mQueuePlace.end();
        endWithFailure(Refusal.OVERLOADED, reason);
    }

    /** Returns whether the request has to wait until an engine has memory for it. */
    boolean isOutOfMemory() {
        return mChoice.isOutOfMemory(mKvCache);
    }
}
