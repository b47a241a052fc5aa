package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Receives the response of one outgoing call on the control thread.
 *
 * <p>Invariant: exactly one of {@link #onComplete} and {@link #onFailure} is called, as the last
 * call; after {@link OutgoingCall#abandon} no method is called.
 */
public interface OutgoingListener {
    /** Called with the response head. */
    void onHead(HttpResponse head);

    /** Called with each part of the response body. */
    void onData(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when no complete response will arrive. */
    void onFailure(CallFailure failure);
}
