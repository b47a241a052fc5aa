package org.vanilladoor.transport;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Hears of one outgoing call, on the control thread, until its end or failure.
 *
 * <p>Invariant: exactly one of {@link #ended} and {@link #failed} comes, and nothing after it;
 * after {@link OutgoingCall#abandon} nothing comes at all.
 */
public interface OutgoingListener {
    /** The head of the answer has come. */
    void head(HttpResponse head);

    /** A piece of the answer's body has come. */
    void data(byte[] bytes);

    /** The answer is complete. */
    void ended();

    /** No complete answer will come. */
    void failed(CallFailure failure);
}
