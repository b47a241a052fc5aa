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
 * Sends one call to endpoints and records whether any of them may have run it.
 *
 * <p>Invariant: {@link #mayHaveRun} becomes true as soon as a send ends in anything but {@link
 * NotSentException}, and stays true. Used by one traffic thread.
 */
final class CallSender {
    private final CallerContext mContext;
    private final Call mCall;
    private boolean mMayHaveRun;

    private CallSender(CallerContext context, Call call) {
        mContext = context;
        mCall = call;
    }

    static CallSender create(CallerContext context, Call call) {
        return new CallSender(context, call);
    }

    /**
     * Sends a request for the call and returns the response to it.
     *
     * @throws NotSentException if nothing was sent
     * @throws IOException if the endpoint may have received the request
     */
    HttpClientResponse send(String endpoint, HttpClientRequest request) throws IOException {
        try {
            HttpClientResponse response =
                    mContext.endpoints()
                            .send(mContext.addressOf(endpoint), mCall, request, remainingTime());
            mMayHaveRun = true;
            mContext.openCalls().attachResponse(mCall.identifier(), response);
            return response;
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

    /** Returns what a refusal may state about whether this attempt ran. */
    Ran ran() {
        return mMayHaveRun ? Ran.UNKNOWN : Ran.NO;
    }

    private Duration remainingTime() {
        long left = mCall.deadlineMillis() - MonotonicClock.nowMillis();
        return Duration.ofMillis(Math.max(1, left));
    }
}
