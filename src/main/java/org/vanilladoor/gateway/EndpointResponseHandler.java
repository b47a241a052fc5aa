package org.vanilladoor.gateway;

import java.util.List;
import java.util.OptionalLong;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.PieceBuffer;
import org.vanilladoor.fleet.CallCost;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.RouteKind;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.ConnectionPool;

/**
 * Handles the response to one endpoint call: forwards it to the caller, retries, or refuses the
 * request.
 *
 * <p>Invariants: only signed event streams are forwarded into a stream, in complete events whose
 * identifiers grow; any other response is forwarded only if it carries the endpoint's signature,
 * and is complete, or long and of a stated length. An endpoint failure that does not state that the
 * request was not run is never reported to the caller as not run. Confined to the control thread.
 */
final class EndpointResponseHandler implements EndpointExchange.Listener {
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Maximum size of one event of a stream; events have a few kilobytes. */
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    /** Size from which on a response that states its length is forwarded as it arrives. */
    private static final int MINIMUM_FORWARDED_BYTES = 256 * 1024;

    /** Maximum size of the response to a prefill, which names the KV cache. */
    private static final int MAXIMUM_PREFILL_RESPONSE_BYTES = 64 * 1024;

    /** Maximum size of the body of a response of which only the head matters. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 * 1024;

    /** Time after the first event at which an engine has survived a prompt. */
    private static final long SURVIVAL_MILLIS = 500;

    /** Time in which an engine that still runs accepts a connection. */
    private static final long CRASH_CHECK_TIMEOUT_MILLIS = 300;

    private final GatewayContext mContext;
    private final RequestExecution mExecution;
    private final Endpoint mEndpoint;
    private final EndpointCall.Stage mStage;
    private final CallCost mCost;
    private final StreamOrigin mOrigin;
    private final PieceBuffer mBody = PieceBuffer.create();
    private EndpointResponse mResponse;
    private HttpResponse mHead;
    private Content mContent;
    private long mDiscardedBytes;
    private boolean mStatesLength;
    private boolean mHasBegun;
    private long mBegunMillis;
    private boolean mSurvived;

    EndpointResponseHandler(
            GatewayContext context,
            RequestExecution execution,
            EndpointCall call,
            CallCost cost,
            StreamOrigin origin) {
        mContext = context;
        mExecution = execution;
        mEndpoint = call.endpoint();
        mStage = call.stage();
        mCost = cost;
        mOrigin = origin;
    }

    @Override
    public void onHead(HttpResponse head, EndpointResponse response) {
        mHead = head;
        mResponse = response;
        mContent = contentOf(head, response);
        mStatesLength = head.containsHeader(HttpHeaders.CONTENT_LENGTH);
    }

    /** Returns whether the head states a length that no valid response has. */
    private boolean isTooLong(HttpResponse head) {
        Header length = head.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
        return length != null && Long.parseLong(length.getValue()) > MAXIMUM_RESPONSE_BYTES;
    }

    private Content contentOf(HttpResponse head, EndpointResponse response) {
        if (response.isNotRun() || isTooLong(head)) {
            return Content.DISCARDED;
        }
        if (mStage == EndpointCall.Stage.READ_PROMPT) {
            return Content.COLLECTED;
        }
        if (!response.isSigned()) {
            return Content.DISCARDED;
        }
        if (!mExecution.route().kind().isStreaming() || !response.isSuccess()) {
            return Content.COLLECTED;
        }
        boolean isEventStream =
                !head.containsHeader(HttpHeaders.CONTENT_ENCODING)
                        && isEventStreamType(head.getFirstHeader(HttpHeaders.CONTENT_TYPE));
        return isEventStream ? Content.EVENTS : Content.DISCARDED;
    }

    /** An undeclared type is taken for a stream of events, unless it would go on with another. */
    private boolean isEventStreamType(Header contentType) {
        if (contentType == null) {
            return !mExecution.isStreaming();
        }
        return ContentType.TEXT_EVENT_STREAM.isSameMimeType(
                ContentType.parseLenient(contentType.getValue()));
    }

    @Override
    public EndpointExchange.Verdict onData(byte[] bytes) {
        return switch (mContent) {
            case EVENTS -> addEvents(bytes);
            case COLLECTED -> collect(bytes);
            case FORWARDED -> {
                mExecution.forward(mHead, bytes);
                yield EndpointExchange.Verdict.VALID;
            }
            case DISCARDED -> {
                mDiscardedBytes += bytes.length;
                yield EndpointExchange.Verdict.ofSize(mDiscardedBytes, MAXIMUM_DISCARDED_BYTES);
            }
        };
    }

    @Override
    public boolean hasBegun() {
        return mHasBegun || !mExecution.route().kind().isStreaming();
    }

    @Override
    public long heldBytes() {
        return mContent == Content.EVENTS
                ? mExecution.progress().events().partialBytes()
                : mBody.size();
    }

    private EndpointExchange.Verdict addEvents(byte[] bytes) {
        if (!mHasBegun && !mOrigin.isStillOfVersion(mEndpoint)) {
            return EndpointExchange.Verdict.OTHER_VERSION;
        }
        EventAssembler events = mExecution.progress().events();
        int earlierEvents = events.acceptedEvents();
        byte[] completeEvents = events.add(bytes);
        recordTime(
                mCost.recordEvents(
                        events.acceptedEvents() - earlierEvents, MonotonicClock.nowMillis()));
        if (completeEvents.length > 0) {
            forwardEvents(completeEvents);
        }
        return events.isOutOfOrder()
                ? EndpointExchange.Verdict.OUT_OF_ORDER
                : EndpointExchange.Verdict.ofSize(events.partialBytes(), MAXIMUM_EVENT_BYTES);
    }

    private void recordTime(OptionalLong tookMillis) {
        tookMillis.ifPresent(
                millis ->
                        mContext.metrics().recordCallTime(mStage, mCost.expectedMillis(), millis));
    }

    private EndpointExchange.Verdict collect(byte[] bytes) {
        mBody.add(bytes);
        if (mStage == EndpointCall.Stage.READ_PROMPT) {
            return EndpointExchange.Verdict.ofSize(mBody.size(), MAXIMUM_PREFILL_RESPONSE_BYTES);
        }
        if (mBody.size() >= MINIMUM_FORWARDED_BYTES && mStatesLength && isAnswer()) {
            mContent = Content.FORWARDED;
            countStartedUnlessStreaming();
            mExecution.forward(mHead, mBody.toByteArray());
            mBody.clear();
        }
        return EndpointExchange.Verdict.ofSize(mBody.size(), MAXIMUM_RESPONSE_BYTES);
    }

    /** Returns whether the caller gets the response, whatever its body is. */
    private boolean isAnswer() {
        return !mResponse.isServerError() && !isUntruePromise() && !mExecution.isStreaming();
    }

    private void forwardEvents(byte[] events) {
        mOrigin.recordEvent(mEndpoint);
        recordProgress();
        if (!mExecution.isStreaming()) {
            mExecution.countStartedRequest();
            mContext.metrics()
                    .recordDuration(
                            "requests.first_event_millis",
                            MonotonicClock.nowMillis() - mExecution.progress().arrivedMillis());
        }
        mExecution.forward(mHead, events);
    }

    /** Once an engine has gone on after the first event, it has survived the prompt. */
    private void recordProgress() {
        long nowMillis = MonotonicClock.nowMillis();
        if (!mHasBegun) {
            mHasBegun = true;
            mBegunMillis = nowMillis;
        } else if (!mSurvived && nowMillis - mBegunMillis >= SURVIVAL_MILLIS) {
            recordSurvival(nowMillis);
        }
    }

    private void recordSurvival(long nowMillis) {
        if (!mSurvived && !mExecution.sharedParts().isEmpty()) {
            mSurvived = true;
            mContext.promptGuard().recordAnswer(mExecution.sharedParts(), nowMillis);
        }
    }

    @Override
    public void onComplete() {
        Endpoint endpoint = mExecution.detachCall();
        if (mResponse.isNotRun()) {
            mContext.placement().recordRefusal(endpoint, MonotonicClock.nowMillis());
            mExecution.retryElsewhere(
                    endpoint, "the endpoint rejected the call with status " + mResponse.status());
        } else if (mStage == EndpointCall.Stage.READ_PROMPT) {
            mExecution.progress().markPossiblyPrefilled();
            onPrefillComplete(endpoint);
        } else {
            mExecution.progress().markPossiblyRun();
            onRunResponse(endpoint);
        }
    }

    private void onPrefillComplete(Endpoint endpoint) {
        try {
            if (!mResponse.isSuccess()) {
                throw new IllegalArgumentException("status " + mResponse.status());
            }
            String handle = mContext.wireFormat().decodeKvCacheHandle(mBody.toByteArray());
            recordTime(mCost.recordResponse(MonotonicClock.nowMillis()));
            mExecution.onPrefillComplete(new KvCacheReference(endpoint, handle));
        } catch (IllegalArgumentException e) {
            mContext.placement().recordFailure(endpoint, MonotonicClock.nowMillis());
            mExecution.retryElsewhere(endpoint, "prefill failed: " + e.getMessage());
        }
    }

    private void onRunResponse(Endpoint endpoint) {
        long nowMillis = MonotonicClock.nowMillis();
        if (mContent == Content.FORWARDED) {
            mContext.placement().recordSuccess(endpoint, nowMillis);
            recordTime(mCost.recordResponse(nowMillis));
            mExecution.completeStream(endpoint.name() + " with status " + mResponse.status());
            return;
        }
        if (mExecution.route().kind().isStreaming() && mResponse.isSuccess()) {
            onStreamResponse(endpoint);
            return;
        }
        if (!mResponse.isSigned()) {
            handleBrokenResponse(
                    endpoint,
                    "the response has no endpoint signature; status " + mResponse.status());
            return;
        }
        // An endpoint that can't go on with a stream has failed, whatever its status.
        if (mResponse.isServerError() || mExecution.isStreaming()) {
            mContext.placement().recordFailure(endpoint, nowMillis);
            mExecution.progress().countPossibleRun();
            if (mayRunAgain() && mExecution.attemptBudget().tryAcquireRetry(nowMillis)) {
                countStartedUnlessStreaming();
                mExecution.attemptBudget().recordAcquiredRetry();
                mExecution.retryElsewhere(
                        endpoint, "the endpoint failed with status " + mResponse.status());
                return;
            }
        } else {
            mContext.placement().recordSuccess(endpoint, nowMillis);
            recordTime(mCost.recordResponse(nowMillis));
        }
        countStartedUnlessStreaming();
        if (mResponse.status() == Refusal.NOT_RUN.status() || isUntruePromise()) {
            // To a caller, this status means that the request was not run. The endpoint did not
            // state that, so its response is not forwarded.
            mExecution.endWithFailure(
                    Refusal.OUTCOME_UNKNOWN,
                    "the endpoint failed with status " + mResponse.status());
            return;
        }
        mExecution.endWithResponse(
                mHead, mBody.toByteArray(), endpoint.name() + " with status " + mResponse.status());
    }

    private void onStreamResponse(Endpoint endpoint) {
        if (mContent != Content.EVENTS) {
            handleBrokenResponse(
                    endpoint,
                    "the response is not a signed event stream; status " + mResponse.status());
        } else if (mExecution.isStreaming()
                && mExecution.progress().events().endsAtEventBoundary()) {
            long nowMillis = MonotonicClock.nowMillis();
            mContext.placement().recordSuccess(endpoint, nowMillis);
            recordTime(mCost.recordResponse(nowMillis));
            recordSurvival(nowMillis);
            mExecution.completeStream(endpoint.name());
        } else {
            handleBrokenResponse(
                    endpoint,
                    "the response stream ended before its first event or inside an event");
        }
    }

    private boolean mayRunAgain() {
        return mContent != Content.FORWARDED
                && mExecution.route().allowsRetryAfterExecution()
                && mExecution.progress().events().isResumable()
                && mExecution.progress().possibleRuns() < mExecution.route().maximumExecutions();
    }

    /** Returns whether the caller would send a request again that may run at most once. */
    private boolean isUntruePromise() {
        return mResponse.promisesNotRun() && !mExecution.route().allowsRetryAfterExecution();
    }

    private void countStartedUnlessStreaming() {
        if (mExecution.route().kind() != RouteKind.STREAM) {
            mExecution.countStartedRequest();
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        Endpoint endpoint = mExecution.detachCall();
        long nowMillis = MonotonicClock.nowMillis();
        if (!failure.mayHaveBeenSent()) {
            if (failure.isConnectionRefused()) {
                mContext.placement().recordConnectionRefused(endpoint, nowMillis);
            } else {
                mContext.placement().recordUnreachable(endpoint, nowMillis);
            }
            retryUnsent(endpoint, failure);
            return;
        }
        if (!failure.isConnectionReused()) {
            mContext.placement().recordUnreachable(endpoint, nowMillis);
        }
        if (mStage == EndpointCall.Stage.READ_PROMPT) {
            mExecution.progress().markPossiblyPrefilled();
            mExecution.retryElsewhere(endpoint, failure.reason());
        } else {
            mExecution.progress().markPossiblyRun();
            handleBrokenResponse(endpoint, failure.reason());
        }
    }

    @Override
    public void onHandlingFailed(Throwable failure) {
        mExecution.endAfterFailure(failure);
    }

    private void retryUnsent(Endpoint endpoint, CallFailure failure) {
        mContext.metrics().count("calls.undelivered");
        mExecution.attemptBudget().recordUnsent(mStage);
        if (mStage == EndpointCall.Stage.RUN) {
            mExecution.kvCache().reclaim();
        }
        mExecution.retryElsewhere(endpoint, failure.reason());
    }

    private void handleBrokenResponse(Endpoint endpoint, String reason) {
        long nowMillis = MonotonicClock.nowMillis();
        mContext.metrics().count("runs.broken");
        List<String> parts = mExecution.sharedParts();
        mExecution.log().writeRunBroken(endpoint, mHasBegun, parts, reason);
        mContext.placement().recordFailure(endpoint, nowMillis);
        mExecution.progress().countPossibleRun();
        boolean isAboutToAnswer = !mHasBegun || nowMillis - mBegunMillis < SURVIVAL_MILLIS;
        if (isAboutToAnswer
                && !mContext.placement().isLeaving(endpoint)
                && !mContext.promptGuard().areAboveSuspicion(parts, nowMillis)) {
            mContext.connections()
                    .probe(
                            endpoint.address(),
                            CRASH_CHECK_TIMEOUT_MILLIS,
                            reachability ->
                                    mExecution.runStep(
                                            () -> onCrashChecked(endpoint, reachability, reason)));
        } else {
            retryOrEnd(endpoint, reason);
        }
    }

    /** An engine has crashed if its port is closed right after it broke off a run. */
    private void onCrashChecked(
            Endpoint endpoint, ConnectionPool.Reachability reachability, String reason) {
        if (reachability == ConnectionPool.Reachability.REFUSED) {
            long nowMillis = MonotonicClock.nowMillis();
            mContext.metrics().count("engines.crashed");
            mContext.placement().recordConnectionRefused(endpoint, nowMillis);
            mContext.promptGuard().recordCrash(endpoint, mExecution.sharedParts(), nowMillis);
        }
        if (!mExecution.isDone()) {
            retryOrEnd(endpoint, reason);
        }
    }

    private void retryOrEnd(Endpoint endpoint, String reason) {
        long nowMillis = MonotonicClock.nowMillis();
        // A request that may have crashed its engine is not worth another one.
        if (mContext.promptGuard().isSound(mExecution.sharedParts())
                && mayRunAgain()
                && mExecution.attemptBudget().tryAcquireRetry(nowMillis)) {
            mExecution.attemptBudget().recordAcquiredRetry();
            mExecution.retryElsewhere(endpoint, reason);
        } else {
            mExecution.endWithFailure(Refusal.OUTCOME_UNKNOWN, reason);
        }
    }

    /** What is done with the body of the response. */
    private enum Content {
        /** Forwarded in complete events. */
        EVENTS,
        /** Kept until it is complete. */
        COLLECTED,
        /** Forwarded as it arrives; the caller has got its start. */
        FORWARDED,
        /** Not used, since the head decides what happens. */
        DISCARDED
    }
}
