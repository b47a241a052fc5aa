package org.vanilladoor.gateway;

import org.vanilladoor.fleet.Endpoint;

/**
 * The endpoint call of one request that is in progress, if there is one.
 *
 * <p>Confined to the control thread.
 */
final class CallSlot {
    private EndpointExchange mCall;

    private CallSlot() {}

    /** Returns a slot without a call. */
    static CallSlot empty() {
        return new CallSlot();
    }

    boolean isEmpty() {
        return mCall == null;
    }

    boolean holds(EndpointExchange call) {
        return mCall == call;
    }

    EndpointExchange set(EndpointExchange call) {
        mCall = call;
        return call;
    }

    /** Removes the call, which has ended, and returns its endpoint. */
    Endpoint detach() {
        Endpoint endpoint = mCall.endpoint();
        mCall = null;
        return endpoint;
    }

    /** Abandons the call, if there is one, and records what its endpoint may have done. */
    void abandon(RequestProgress progress) {
        if (isEmpty()) {
            return;
        }
        EndpointExchange call = mCall;
        mCall = null;
        // Abandoning comes first: only then is it final whether the call has been sent.
        call.abandon();
        if (call.isSent()) {
            progress.markPossiblyDone(call.stage());
        }
    }

    /** Lets the endpoint send hardly more until the caller has read most of its response. */
    void pauseWhileBacklogged(CallerResponse response) {
        mCall.pauseWhileBacklogged(response);
    }
}
