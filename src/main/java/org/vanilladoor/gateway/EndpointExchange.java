package org.vanilladoor.gateway;

import org.apache.hc.core5.http.HttpResponse;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * One call to an endpoint with its answer, counted as load while it lasts.
 *
 * <p>Invariants: an answer to another attempt is a failure and closes the connection; the load is
 * counted down once. Belongs to the control thread.
 */
final class EndpointExchange implements OutgoingListener {
    private final GatewayContext mContext;
    private final CallerRequest mRequest;
    private final EndpointCall mCall;
    private final Listener mListener;
    private OutgoingCall mOutgoing;
    private boolean mEnded;

    private EndpointExchange(
            GatewayContext context, CallerRequest request, EndpointCall call, Listener listener) {
        mContext = context;
        mRequest = request;
        mCall = call;
        mListener = listener;
    }

    /** Sends the call. */
    static EndpointExchange send(
            GatewayContext context,
            CallerRequest request,
            EndpointCall call,
            long connectMillis,
            Listener listener) {
        EndpointExchange exchange = new EndpointExchange(context, request, call, listener);
        context.placement().started(call.endpoint());
        exchange.noteRunning(1);
        exchange.mOutgoing =
                context.links()
                        .send(
                                call.endpoint().address(),
                                connectMillis,
                                context.wire().encodeCall(request, call),
                                request.body(),
                                exchange);
        return exchange;
    }

    /** Frees a prompt's memory that nobody will fetch; it lapses by itself if this fails. */
    static void free(GatewayContext context, KvCacheReference memory, long connectMillis) {
        context.links()
                .send(
                        memory.endpoint().address(),
                        connectMillis,
                        context.wire().encodeKvCacheRelease(memory),
                        new byte[0],
                        new Ignored());
    }

    Endpoint endpoint() {
        return mCall.endpoint();
    }

    EndpointCall.Stage stage() {
        return mCall.stage();
    }

    boolean isSent() {
        return mOutgoing.isSent();
    }

    /** Gives the call up; the listener hears nothing more. */
    void abandon() {
        if (leave()) {
            mOutgoing.abandon();
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        if (mEnded) {
            return;
        }
        EndpointResponse answer = mContext.wire().decodeResponseHead(head);
        if (!answer.identifier().equals(mRequest.identifier())) {
            leave();
            mOutgoing.abandon();
            mListener.failed(new CallFailure(true, false, "the answer is for another request"));
            return;
        }
        answer.load()
                .ifPresent(
                        load ->
                                mContext.placement()
                                        .sample(
                                                mCall.endpoint(),
                                                load,
                                                MonotonicClock.nowMillis()));
        mListener.head(head, answer);
    }

    @Override
    public void onData(byte[] bytes) {
        if (!mEnded) {
            mListener.data(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (leave()) {
            mListener.ended();
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (leave()) {
            mListener.failed(failure);
        }
    }

    private boolean leave() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mContext.placement().ended(mCall.endpoint());
        noteRunning(-1);
        return true;
    }

    private void noteRunning(int change) {
        if (mCall.stage() == EndpointCall.Stage.RUN) {
            mContext.work().adjustRunning(mCall.endpoint().service(), change);
        }
    }

    /** Hears of a call, until its end or failure. */
    interface Listener {
        /** The head of the answer has come, and it is the answer to this call. */
        void head(HttpResponse head, EndpointResponse answer);

        /** A piece of the answer's body has come. */
        void data(byte[] bytes);

        /** The answer is complete. */
        void ended();

        /** No complete answer will come. */
        void failed(CallFailure failure);
    }

    /** Listens to a call whose outcome changes nothing. */
    private static final class Ignored implements OutgoingListener {
        @Override
        public void onHead(HttpResponse head) {
            // The status changes nothing.
        }

        @Override
        public void onData(byte[] bytes) {
            // The body changes nothing.
        }

        @Override
        public void onComplete() {
            // Done.
        }

        @Override
        public void onFailure(CallFailure failure) {
            // What was to be freed lapses by itself.
        }
    }
}
