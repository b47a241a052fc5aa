package org.vanilladoor.gateway;

import java.io.ByteArrayOutputStream;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.RouteKind;
import org.vanilladoor.transport.CallFailure;

/**
 * Hears of one call to an endpoint and decides what its answer means for the request.
 *
 * <p>Invariants: only whole events, and only whole answers that bear the endpoint's signature, are
 * passed on; an endpoint's failure that does not say "not run" never becomes one that does. Belongs
 * to the control thread.
 */
final class CallHandler implements EndpointExchange.Listener {
    private static final int LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;
    private final GatewayContext mContext;
    private final RequestProcess mProcess;
    private final EndpointCall.Stage mStage;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private EndpointResponse mAnswer;
    private HttpResponse mHead;
    private boolean mTooLarge;

    CallHandler(GatewayContext context, RequestProcess process, EndpointCall.Stage stage) {
        mContext = context;
        mProcess = process;
        mStage = stage;
    }

    @Override
    public void head(HttpResponse head, EndpointResponse answer) {
        mHead = head;
        mAnswer = answer;
    }

    @Override
    public void data(byte[] bytes) {
        boolean events =
                mStage == EndpointCall.Stage.RUN
                        && mProcess.route().kind().isStreaming()
                        && mAnswer.isSuccess()
                        && mAnswer.isSigned();
        if (!events) {
            mTooLarge |= mBody.size() + bytes.length > LARGEST_ANSWER_BYTES;
            if (!mTooLarge) {
                mBody.writeBytes(bytes);
            }
            return;
        }
        byte[] whole = mProcess.events().add(bytes);
        if (whole.length > 0) {
            pass(whole);
        }
    }

    private void pass(byte[] events) {
        if (mProcess.isStreaming()) {
            mProcess.exchange().write(events);
            return;
        }
        mProcess.streamBegan();
        mProcess.began();
        mContext.metrics()
                .duration(
                        "requests.first_event_millis",
                        MonotonicClock.nowMillis() - mProcess.arrivedMillis());
        mProcess.exchange()
                .startStream(
                        RequestProcess.closing(mContext, mContext.wire().toCallerResponse(mHead)),
                        events);
    }

    @Override
    public void ended() {
        Endpoint endpoint = mProcess.takeCall();
        if (mAnswer.isNotRun()) {
            mContext.placement().refused(endpoint, MonotonicClock.nowMillis());
            mProcess.tryElsewhere(endpoint, "the endpoint refused with " + mAnswer.status());
        } else if (mStage == EndpointCall.Stage.READ_PROMPT) {
            promptRead(endpoint);
        } else {
            mProcess.mayHaveRun();
            answered(endpoint);
        }
    }

    private void promptRead(Endpoint endpoint) {
        try {
            if (!mAnswer.isSuccess()) {
                throw new IllegalArgumentException("status " + mAnswer.status());
            }
            String handle = mContext.wire().decodeKvCacheHandle(mBody.toByteArray());
            mProcess.promptRead(new KvCacheReference(endpoint, handle));
        } catch (IllegalArgumentException e) {
            mContext.placement().failed(endpoint, MonotonicClock.nowMillis());
            mProcess.tryElsewhere(endpoint, "the prompt was not read: " + e.getMessage());
        }
    }

    private void answered(Endpoint endpoint) {
        long now = MonotonicClock.nowMillis();
        if (mProcess.route().kind().isStreaming() && mAnswer.isSuccess()) {
            if (mProcess.isStreaming() && mProcess.events().endsWithWholeEvent()) {
                mContext.placement().succeeded(endpoint, now);
                mProcess.finish("served", endpoint.name());
                mProcess.exchange().end();
            } else {
                broken(endpoint, "the stream ended early");
            }
            return;
        }
        if (mTooLarge) {
            broken(endpoint, "the answer is larger than " + LARGEST_ANSWER_BYTES + " bytes");
            return;
        }
        if (!mAnswer.isSigned()) {
            broken(endpoint, "an unsigned answer with status " + mAnswer.status());
            return;
        }
        if (mAnswer.isServerError()) {
            mContext.placement().failed(endpoint, now);
            mProcess.countRun();
            if (mProcess.mayRunAgain() && mProcess.budget().tryRepeat(now)) {
                countBegun();
                mProcess.budget().payRepeat();
                mProcess.tryElsewhere(endpoint, "the endpoint failed with " + mAnswer.status());
                return;
            }
        } else {
            mContext.placement().succeeded(endpoint, now);
        }
        countBegun();
        if (mAnswer.status() == Refusal.NOT_RUN.status()) {
            // The endpoint does not promise that it has not run, so neither is promised here.
            mProcess.refuse(
                    Refusal.OUTCOME_UNKNOWN, "the endpoint failed with " + mAnswer.status());
            return;
        }
        mProcess.finish("served", endpoint.name() + " with status " + mAnswer.status());
        mProcess.exchange()
                .respond(
                        RequestProcess.closing(mContext, mContext.wire().toCallerResponse(mHead)),
                        mBody.toByteArray());
    }

    private void countBegun() {
        if (mProcess.route().kind() != RouteKind.STREAM) {
            mProcess.began();
        }
    }

    @Override
    public void failed(CallFailure failure) {
        Endpoint endpoint = mProcess.takeCall();
        long now = MonotonicClock.nowMillis();
        if (!failure.sent()) {
            mContext.placement().unreachable(endpoint, now);
            unsent(endpoint, failure);
            return;
        }
        if (!failure.reused()) {
            mContext.placement().unreachable(endpoint, now);
        }
        if (mStage == EndpointCall.Stage.READ_PROMPT) {
            mProcess.tryElsewhere(endpoint, failure.reason());
        } else {
            mProcess.mayHaveRun();
            broken(endpoint, failure.reason());
        }
    }

    private void unsent(Endpoint endpoint, CallFailure failure) {
        mProcess.budget().uncount();
        mProcess.tryElsewhere(endpoint, failure.reason());
    }

    private void broken(Endpoint endpoint, String reason) {
        long now = MonotonicClock.nowMillis();
        mContext.placement().failed(endpoint, now);
        mProcess.countRun();
        if (mProcess.mayRunAgain() && mProcess.budget().tryRepeat(now)) {
            mProcess.budget().payRepeat();
            mProcess.readDirectlyIfStreaming();
            mProcess.tryElsewhere(endpoint, reason);
        } else {
            mProcess.refuseWithoutRun(Refusal.OUTCOME_UNKNOWN, reason);
        }
    }
}
