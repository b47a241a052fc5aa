package org.vanilladoor.gateway;

import java.time.Duration;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.FailureCollector;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.CallCost;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.ConnectionAnomaly;
import org.vanilladoor.transport.ConnectionUse;
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * One endpoint call and its response. Counts as load of the endpoint while it is in progress.
 *
 * <p>Invariants: a response that doesn't carry the identifier of this very attempt, or whose head
 * contradicts itself, is neither an answer nor a refusal: the outcome of the call is unknown, and
 * the connection is closed. The load is decremented exactly once. Its time limit ends with it.
 * Confined to the control thread.
 */
final class EndpointExchange implements OutgoingListener {
    /** Connect timeout; within a region, connecting takes a few milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 300;

    /** Time limit of the call that releases a KV cache. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    private final GatewayContext mContext;
    private final CallerRequest mRequest;
    private final EndpointCall mCall;
    private final CallCost mCost;
    private final Listener mListener;
    private final MemoryBudget.Account mBodyAccount;
    private OutgoingCall mOutgoingCall;
    private ControlLoop.Timer mTimeLimit = ControlLoop.Timer.NONE;
    private boolean mAwaitsFirstEvent;
    private boolean mEnded;

    private EndpointExchange(
            GatewayContext context,
            CallerRequest request,
            EndpointCall call,
            CallCost cost,
            Listener listener) {
        mContext = context;
        mRequest = request;
        mCall = call;
        mCost = cost;
        mListener = listener;
        mBodyAccount = context.memory().open(MemoryBudget.Use.RESPONSE_BODY);
    }

    /**
     * Sends the call and adds it to the endpoint's load.
     *
     * @param cost the call's outstanding work, which ends with the call
     */
    static EndpointExchange send(
            GatewayContext context,
            CallerRequest request,
            EndpointCall call,
            CallCost cost,
            Listener listener) {
        EndpointExchange exchange = new EndpointExchange(context, request, call, cost, listener);
        context.placement().recordStart(call.endpoint());
        try {
            context.placement().recordSent(call.endpoint(), MonotonicClock.nowMillis());
            exchange.startLoad();
            exchange.mOutgoingCall = exchange.open();
        } catch (RuntimeException | Error e) {
            exchange.tryEnd();
            throw e;
        }
        return exchange;
    }

    private OutgoingCall open() {
        return mContext.connections()
                .send(
                        mCall.endpoint().address(),
                        mContext.callHistory()
                                .record(mRequest.identifier(), mCall.endpoint().address()),
                        CONNECT_TIMEOUT_MILLIS,
                        mContext.wireFormat().encodeCall(mRequest, mCall),
                        mRequest.body(),
                        this);
    }

    /**
     * Asks an endpoint to release a KV cache that will not be fetched. If this fails, the endpoint
     * releases it after a time limit of its own.
     */
    static void releaseKvCache(GatewayContext context, KvCacheReference kvCache) {
        if (!context.placement().wantsRequests(kvCache.endpoint(), MonotonicClock.nowMillis())) {
            return;
        }
        context.placement().recordSent(kvCache.endpoint(), MonotonicClock.nowMillis());
        ReleaseListener listener = new ReleaseListener(context.wireFormat());
        OutgoingCall release =
                context.connections()
                        .send(
                                kvCache.endpoint().address(),
                                ConnectionUse.ANY,
                                CONNECT_TIMEOUT_MILLIS,
                                context.wireFormat().encodeKvCacheRelease(kvCache),
                                new byte[0],
                                listener);
        listener.mRelease = release;
        listener.mTimeLimit =
                context.control()
                        .schedule(
                                Duration.ofMillis(RELEASE_TIMEOUT_MILLIS),
                                listener::abandonUnlessDone);
    }

    Endpoint endpoint() {
        return mCall.endpoint();
    }

    EndpointCall.Stage stage() {
        return mCall.stage();
    }

    boolean isSent() {
        return mOutgoingCall.isSent();
    }

    /** Sets the only time limit of the call, and what runs if it has not ended by then. */
    void limitTime(long millis, Runnable onTimeout) {
        if (!mEnded) {
            mTimeLimit = mContext.control().schedule(Duration.ofMillis(millis), onTimeout);
        }
    }

    /** Abandons the call; the listener receives no further notification. */
    void abandon() {
        if (mEnded) {
            return;
        }
        try {
            tryEnd();
        } finally {
            mOutgoingCall.abandon();
        }
    }

    /** Lets the endpoint send hardly more until the caller has read most of its response. */
    void pauseWhileBacklogged(CallerResponse response) {
        if (response.isBacklogged()) {
            mOutgoingCall.pauseReading();
            response.whenDrained(mOutgoingCall::resumeReading);
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        runStep(() -> handleHead(head));
    }

    @Override
    public void onData(byte[] bytes) {
        runStep(() -> handleData(bytes));
    }

    @Override
    public void onComplete() {
        runStep(
                () -> {
                    if (tryEnd()) {
                        mListener.onComplete();
                    }
                });
    }

    @Override
    public void onFailure(CallFailure failure) {
        runStep(
                () -> {
                    if (tryEnd()) {
                        mListener.onFailure(failure);
                    }
                });
    }

    /** Reports a failure of the step to the listener, which ends the request. */
    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mListener.onHandlingFailed(e);
        }
    }

    private void handleHead(HttpResponse head) {
        if (mEnded) {
            return;
        }
        EndpointResponse response = mContext.wireFormat().decodeResponseHead(head);
        if (response.contradiction().isPresent()) {
            endWithForeignResponse(response.contradiction().get());
            return;
        }
        if (!response.identifier().equals(mRequest.identifier())) {
            endWithForeignResponse("the response belongs to another request");
            return;
        }
        response.load()
                .ifPresent(
                        load ->
                                mContext.placement()
                                        .recordLoad(
                                                mCall.endpoint(),
                                                load,
                                                MonotonicClock.nowMillis()));
        mContext.placement()
                .recordStatement(mCall.endpoint(), response.limit(), MonotonicClock.nowMillis());
        mContext.placement()
                .recordNotice(mCall.endpoint(), response.notice(), MonotonicClock.nowMillis());
        mListener.onHead(head, response);
    }

    private void handleData(byte[] bytes) {
        if (mEnded) {
            return;
        }
        Verdict verdict = mListener.onData(bytes);
        endAwaitingOnceBegun();
        switch (verdict) {
            case TOO_LONG -> {
                mContext.placement().recordEndless(mCall.endpoint(), MonotonicClock.nowMillis());
                endWithInvalidResponse("the response is larger than any valid one");
            }
            case OTHER_VERSION ->
                    endWithInvalidResponse("the endpoint has another version than when chosen");
            case OUT_OF_ORDER -> endWithInvalidResponse("an event does not follow the last one");
            case VALID -> {
                if (!mBodyAccount.tryResize(mListener.heldBytes())) {
                    endWithInvalidResponse("there is no memory for the response");
                }
            }
        }
    }

    private void endWithForeignResponse(String reason) {
        mContext.connections()
                .recordAnomaly(
                        mCall.endpoint().address(), ConnectionAnomaly.FOREIGN_RESPONSE, reason);
        endWithInvalidResponse(reason);
    }

    /** Closes the connection, on which the endpoint may go on sending for ever. */
    private void endWithInvalidResponse(String reason) {
        abandon();
        mListener.onFailure(CallFailure.ofInvalidResponse(reason));
    }

    private boolean tryEnd() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        FailureCollector steps = FailureCollector.create();
        steps.run(mTimeLimit::cancel);
        steps.run(mBodyAccount::close);
        steps.run(() -> mContext.placement().recordEnd(mCall.endpoint()));
        steps.run(mCost::end);
        endLoad(steps);
        steps.rethrow();
        return true;
    }

    private void startLoad() {
        if (mCall.stage() == EndpointCall.Stage.RUN) {
            adjustLoad(ServiceLoadSink.Gauge.RUNNING, 1);
            adjustLoad(ServiceLoadSink.Gauge.OUTPUT_TOKENS, outputTokens());
            mAwaitsFirstEvent = !mListener.hasBegun();
            adjustLoad(ServiceLoadSink.Gauge.AWAITING_FIRST_EVENT, mAwaitsFirstEvent ? 1 : 0);
        }
    }

    private void endAwaitingOnceBegun() {
        if (mAwaitsFirstEvent && mListener.hasBegun()) {
            mAwaitsFirstEvent = false;
            adjustLoad(ServiceLoadSink.Gauge.AWAITING_FIRST_EVENT, -1);
        }
    }

    private void endLoad(FailureCollector steps) {
        if (mCall.stage() != EndpointCall.Stage.RUN) {
            return;
        }
        steps.run(() -> adjustLoad(ServiceLoadSink.Gauge.RUNNING, -1));
        steps.run(() -> adjustLoad(ServiceLoadSink.Gauge.OUTPUT_TOKENS, -outputTokens()));
        if (mAwaitsFirstEvent) {
            steps.run(() -> adjustLoad(ServiceLoadSink.Gauge.AWAITING_FIRST_EVENT, -1));
        } else {
            steps.run(this::countGeneratedTokens);
        }
    }

    private void countGeneratedTokens() {
        mContext.load()
                .count(
                        mCall.endpoint().service(),
                        ServiceLoadSink.Counter.GENERATED_TOKENS,
                        outputTokens());
    }

    private void adjustLoad(ServiceLoadSink.Gauge gauge, long change) {
        mContext.load().adjust(mCall.endpoint().service(), gauge, change);
    }

    private long outputTokens() {
        return mRequest.prompt().map(PromptMetadata::maximumOutputTokens).orElse(0L);
    }

    /** What is known of a response that is not complete. */
    enum Verdict {
        /** It may be valid. */
        VALID,
        /** It has more bytes than any valid one, and may have no end. */
        TOO_LONG,
        /** One of its events does not follow the last one that the caller has got. */
        OUT_OF_ORDER,
        /** The endpoint may be another process than the one that was chosen. */
        OTHER_VERSION;

        /** Returns {@link #VALID} for a size up to the maximum, else {@link #TOO_LONG}. */
        static Verdict ofSize(long bytes, long maximumBytes) {
            return bytes <= maximumBytes ? VALID : TOO_LONG;
        }
    }

    /** Receives the response of a call until it completes or fails. */
    interface Listener {
        /** Called with the response head, once it is known to belong to this call. */
        void onHead(HttpResponse head, EndpointResponse response);

        /**
         * Called with each part of the response body.
         *
         * @return what is known of the response; unless it may be valid, the call ends as failed
         */
        Verdict onData(byte[] bytes);

        /**
         * Returns whether the endpoint has begun to answer. A response that is a single message
         * tells nothing of that, so that its request counts as begun.
         */
        boolean hasBegun();

        /** Returns the number of bytes that are kept of the response. */
        long heldBytes();

        /** Called when the response is complete. */
        void onComplete();

        /** Called when no complete response will arrive. */
        void onFailure(CallFailure failure);

        /** Called when handling the response failed; may be followed by other calls. */
        void onHandlingFailed(Throwable failure);
    }

    /**
     * Ignores the outcome of a release, but closes a connection on which the response to another
     * call arrives.
     */
    private static final class ReleaseListener implements OutgoingListener {
        private final WireFormat mWireFormat;
        private OutgoingCall mRelease;
        private ControlLoop.Timer mTimeLimit = ControlLoop.Timer.NONE;
        private boolean mDone;

        ReleaseListener(WireFormat wireFormat) {
            mWireFormat = wireFormat;
        }

        @Override
        public void onHead(HttpResponse head) {
            if (!mWireFormat.decodeResponseHead(head).identifier().isEmpty()) {
                abandonUnlessDone();
            }
        }

        @Override
        public void onData(byte[] bytes) {
            // The body is not used.
        }

        @Override
        public void onComplete() {
            end();
        }

        @Override
        public void onFailure(CallFailure failure) {
            // The endpoint releases the KV cache after its own time limit.
            end();
        }

        void abandonUnlessDone() {
            if (!mDone) {
                end();
                mRelease.abandon();
            }
        }

        private void end() {
            mDone = true;
            mTimeLimit.cancel();
        }
    }
}
