package org.vanilladoor.gateway;

import java.time.Duration;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.transport.FrontExchange;

/**
 * The response to one request, as its caller sees it.
 *
 * <p>Invariants: a response ends exactly once. Before its first part it may end with any whole
 * response; after that only more of it follows, until it is completed or cut off. An end that is no
 * longer possible becomes a cut, so that the caller sees one in any case. A response counts as
 * ended, and its time limit ends, only once its last step has been taken. A stopping process asks
 * its callers to close their connections. Confined to the control thread.
 */
final class CallerResponse {
    private final GatewayContext mContext;
    private final FrontExchange mExchange;
    private State mState = State.NOT_STARTED;
    private ControlLoop.Timer mTimeLimit = ControlLoop.Timer.NONE;

    private CallerResponse(GatewayContext context, FrontExchange exchange) {
        mContext = context;
        mExchange = exchange;
    }

    /** Returns the response to a request, of which nothing has been sent. */
    static CallerResponse to(GatewayContext context, FrontExchange exchange) {
        return new CallerResponse(context, exchange);
    }

    /** Sets the only time limit of the response, and what runs if it has not ended by then. */
    void limitTime(long millis, Runnable onTimeout) {
        mTimeLimit = mContext.control().schedule(Duration.ofMillis(millis), onTimeout);
    }

    /** Sets an action to run if the caller disconnects before the response has been sent. */
    void onDisconnect(Runnable action) {
        mExchange.onDisconnect(action);
    }

    /** Returns whether a part has been forwarded and more may follow. */
    boolean isStreaming() {
        return mState == State.STREAMING;
    }

    boolean isEnded() {
        return mState == State.ENDED;
    }

    /** Forwards a part of the response of the endpoint that sent the given head. */
    void forward(HttpResponse endpointHead, byte[] content) {
        requireNotEnded();
        if (mState == State.STREAMING) {
            mExchange.write(content);
        } else {
            HttpResponse head = toCallerResponse(endpointHead);
            mState = State.STREAMING;
            mExchange.startStream(head, content);
        }
    }

    /** Returns whether the caller has left so much unread that no more should be forwarded. */
    boolean isBacklogged() {
        return mExchange.isBacklogged();
    }

    /** Runs the action once the response is no longer backlogged. */
    void whenDrained(Runnable action) {
        mExchange.whenDrained(action);
    }

    /** Ends with the whole response of an endpoint; a stream is cut off instead. */
    End respond(HttpResponse endpointHead, byte[] body) {
        if (mState != State.NOT_STARTED) {
            return cutOff();
        }
        HttpResponse head = toCallerResponse(endpointHead);
        return end(End.SERVED, () -> mExchange.respond(head, body));
    }

    /** Ends with a refusal; a stream is cut off instead. */
    End refuse(Refusal refusal, long retryAfterMillis) {
        if (mState != State.NOT_STARTED) {
            return cutOff();
        }
        mContext.metrics().countRefusal(refusal);
        HttpResponse head =
                addCloseIfStopping(mContext.wireFormat().encodeRefusal(refusal, retryAfterMillis));
        return end(End.refused(refusal), () -> mExchange.respond(head, new byte[0]));
    }

    /** Ends a stream after its last event; a response without events is cut off instead. */
    End complete() {
        return mState == State.STREAMING ? end(End.SERVED, mExchange::end) : cutOff();
    }

    /** Closes the connection before the end of the response. */
    End cutOff() {
        return end(End.CUT_OFF, mExchange::abort);
    }

    /** Ends without anything to send, because the caller has disconnected. */
    End abandon() {
        return end(End.ABANDONED, () -> {});
    }

    private HttpResponse toCallerResponse(HttpResponse endpointHead) {
        return addCloseIfStopping(mContext.wireFormat().toCallerResponse(endpointHead));
    }

    private HttpResponse addCloseIfStopping(HttpResponse head) {
        if (mContext.state().isStopping()) {
            head.setHeader(HttpHeaders.CONNECTION, HeaderElements.CLOSE);
        }
        return head;
    }

    /**
     * Ends after an unexpected failure: with a refusal if nothing has been sent, otherwise by
     * closing the connection.
     */
    End fail(Throwable failure) {
        if (mState == State.NOT_STARTED) {
            try {
                refuse(Refusal.OUTCOME_UNKNOWN, 0);
            } catch (RuntimeException | Error e) {
                failure.addSuppressed(e);
            }
        }
        return isEnded() ? End.failed(failure) : end(End.failed(failure), mExchange::abort);
    }

    /** Ends with a last step, or, if that fails, by closing the connection. */
    private End end(End intended, Runnable lastStep) {
        requireNotEnded();
        End end = intended;
        try {
            lastStep.run();
        } catch (RuntimeException | Error e) {
            end = End.failed(e);
            mExchange.abort();
        }
        mState = State.ENDED;
        mTimeLimit.cancel();
        return end;
    }

    private void requireNotEnded() {
        if (mState == State.ENDED) {
            throw new IllegalStateException("the response has already ended");
        }
    }

    /**
     * How a response ended.
     *
     * @param outcome outcome of the request, as logged
     */
    record End(String outcome) {
        /** The caller was sent a whole response of an endpoint, or the end of a stream. */
        static final End SERVED = new End("served");

        /** The connection was closed before the response was complete. */
        static final End CUT_OFF = new End("cut");

        /** The caller had disconnected. */
        static final End ABANDONED = new End("abandoned");

        /** Returns the end of a response after an unexpected failure. */
        static End failed(Throwable failure) {
            return new End("failed." + failure.getClass().getSimpleName());
        }

        /** Returns the end of a response that states why the request was refused. */
        static End refused(Refusal refusal) {
            return new End("refused." + refusal);
        }
    }

    /** What has been sent so far. */
    private enum State {
        NOT_STARTED,
        STREAMING,
        ENDED
    }
}
