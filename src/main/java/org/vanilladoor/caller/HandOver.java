package org.vanilladoor.caller;

import java.io.IOException;
import java.time.Duration;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.NotSentException;
import org.vanilladoor.http.Ran;

/**
 * Hands a call to endpoints and remembers whether one of them may have run it.
 *
 * <p>Invariant: {@link #mayHaveRun} is true from the moment at which anything but a refused
 * connection came of a sending. Used by one traffic thread.
 */
final class HandOver {
    private final CallerContext mContext;
    private final Call mCall;
    private boolean mMayHaveRun;

    private HandOver(CallerContext context, Call call) {
        mContext = context;
        mCall = call;
    }

    static HandOver create(CallerContext context, Call call) {
        return new HandOver(context, call);
    }

    /**
     * Sends a request for the call and returns the answer to it.
     *
     * @throws NotSentException if nothing was sent
     * @throws IOException if the endpoint may have received the request
     */
    HttpClientResponse send(String endpoint, HttpClientRequest request) throws IOException {
        try {
            HttpClientResponse reply =
                    mContext.endpoints()
                            .send(mContext.addressOf(endpoint), mCall, request, timeLeft());
            mMayHaveRun = true;
            mContext.openCalls().attach(mCall.identifier(), reply);
            return reply;
        } catch (NotSentException e) {
            throw e;
        } catch (IOException e) {
            mMayHaveRun = true;
            throw e;
        }
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns what a refusal may say of this attempt. */
    Ran ran() {
        return mMayHaveRun ? Ran.UNKNOWN : Ran.NO;
    }

    private Duration timeLeft() {
        long left = mCall.deadlineMillis() - MonotonicClock.nowMillis();
        return Duration.ofMillis(Math.max(1, left));
    }
}
