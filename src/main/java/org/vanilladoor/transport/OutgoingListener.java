package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Hears of one outgoing call, on the control thread, until its end or failure.
 *
 * <p>Invariant: exactly one of {@link #onComplete} and {@link #onFailure} comes, and nothing after
 * it; after {@link OutgoingCall#abandon} nothing comes at all.
 */
public interface OutgoingListener {
    /** The head of the answer has come. */
    void onHead(HttpResponse head);

    /** A piece of the answer's body has come. */
    void onData(byte[] bytes);

    /** The answer is complete. */
    void onComplete();

    /** No complete answer will come. */
    void onFailure(CallFailure failure);
}
