package org.vanilladoor.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.claim.Attempt;
import org.vanilladoor.claim.ClaimOutcome;
import org.vanilladoor.claim.StoredResponse;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.dispatch.Outcome;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.Ran;

/**
 * Relays one call to a plain service.
 *
 * <p>Invariants: a call that is not retryable is sent to at most one endpoint, and with an
 * idempotency key only after its claim was granted; a refusal states {@code ran: no} for a key only
 * after the record that closes the key was written. Used by one traffic thread.
 */
final class ServiceRelay {
    private static final Logger LOG = LogManager.getLogger(ServiceRelay.class);
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_RESPONSE_BYTES = 32 * 1_024 * 1_024;
    private static final int RETRY_AFTER_CLOSE_SECONDS = 3;
    private static final Duration CLOSE_RECORD_TIMEOUT = Duration.ofSeconds(5);
    private final CallerContext mContext;
    private final HttpExchange mExchange;
    private final Call mCall;
    private final HttpClientRequest mRequest;
    private final Optional<Attempt> mAttempt;
    private final CallSender mSender;
    private boolean mClaimed;

    private ServiceRelay(
            CallerContext context,
            HttpExchange exchange,
            Call call,
            HttpClientRequest request,
            Optional<Attempt> attempt) {
        mContext = context;
        mExchange = exchange;
        mCall = call;
        mRequest = request;
        mAttempt = attempt;
        mSender = CallSender.create(context, call);
    }

    /**
     * Returns a relay for a call.
     *
     * @param attempt the attempt, if the call is not retryable and carries an idempotency key
     */
    static ServiceRelay create(
            CallerContext context,
            HttpExchange exchange,
            Call call,
            HttpClientRequest request,
            Optional<Attempt> attempt) {
        return new ServiceRelay(context, exchange, call, request, attempt);
    }

    /** Runs the call and sends the response to the caller. */
    void run() {
        Problem lastProblem = Problem.notRun(503, "endpoint-failed", "no endpoint was tried");
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            Decision decision = mContext.dispatcher().submit(mCall).join();
            if (decision instanceof Decision.Refused refused) {
                refuse(
                        new Problem(
                                refused.kind().status(),
                                refused.kind().type(),
                                refused.reason(),
                                mSender.ran(),
                                mSender.mayHaveRun(),
                                refused.retryAfterSeconds()));
                return;
            }
            Decision.Assigned assigned = (Decision.Assigned) decision;
            if (!claim()) {
                mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.CANCELLED, 0);
                return;
            }
            try {
                relay(assigned);
                return;
            } catch (IOException e) {
                mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.FAILED, 0);
                LOG.info("caller: Endpoint {} failed: {}.", assigned.endpoint(), e.getMessage());
                lastProblem = problemFor(e);
                if (mSender.mayHaveRun() && !mCall.workClass().kind().isRetryable()) {
                    break;
                }
            }
        }
        refuse(lastProblem);
    }

    private Problem problemFor(IOException failure) {
        String detail = String.valueOf(failure.getMessage());
        return mSender.mayHaveRun()
                ? Problem.mayHaveRun(502, "endpoint-failed", detail, true)
                : Problem.notRunRetryAfter(503, "endpoint-failed", detail, 1);
    }

    /**
     * Claims the call unless that is done; returns whether it may be sent to an endpoint. If not, a
     * response has been sent to the caller.
     */
    private boolean claim() {
        if (mAttempt.isEmpty() || mClaimed) {
            return true;
        }
        ClaimOutcome outcome = mContext.claims().claim(mAttempt.get()).join();
        if (outcome.kind() == ClaimOutcome.Kind.GRANTED) {
            mClaimed = true;
            return MonotonicClock.nowMillis() < mCall.deadlineMillis() || refuseAfterDeadline();
        }
        respondToOutcome(
                outcome,
                notRunAfterClose(
                        "refused", "A refusal closed the idempotency key before the claim."));
        return false;
    }

    private boolean refuseAfterDeadline() {
        refuse(
                notRunAfterClose(
                        "deadline-not-reachable",
                        "The claim was granted only after the deadline."));
        return false;
    }

    private static Problem notRunAfterClose(String type, String detail) {
        return Problem.notRunRetryAfter(503, type, detail, RETRY_AFTER_CLOSE_SECONDS);
    }

    private void refuse(Problem problem) {
        mContext.observer().recordRefused(mCall);
        if (mAttempt.isEmpty() || mSender.mayHaveRun()) {
            mExchange.respond(problem);
            return;
        }
        respondToOutcome(
                mContext.claims().close(withRecordingTime(mAttempt.get())).join(), problem);
    }

    /**
     * Returns the attempt with a deadline that leaves time to record a refusal, even after the
     * call's own deadline.
     */
    private static Attempt withRecordingTime(Attempt attempt) {
        long limit = MonotonicClock.nowMillis() + CLOSE_RECORD_TIMEOUT.toMillis();
        return new Attempt(
                attempt.identifier(),
                attempt.key(),
                attempt.request(),
                attempt.knownPosition(),
                Math.max(limit, attempt.deadlineMillis()));
    }

    private void respondToOutcome(ClaimOutcome outcome, Problem refusal) {
        switch (outcome.kind()) {
            case CLOSED -> mExchange.respond(refusal);
            case TAKEN -> respondToDuplicate(outcome.holder());
            case MISMATCH ->
                    mExchange.respond(
                            new Problem(
                                    422,
                                    "idempotency-key-reused",
                                    "The idempotency key was used for another request.",
                                    Ran.UNKNOWN,
                                    false,
                                    0));
            default ->
                    mExchange.respond(
                            Problem.mayHaveRun(
                                    503,
                                    "claim-not-settled",
                                    "The claim could not be decided before the deadline.",
                                    false));
        }
    }

    private void respondToDuplicate(String holder) {
        Optional<StoredResponse> stored = readStoredResponse(holder);
        if (stored.isPresent() && stored.get().whole()) {
            mExchange.setResponseHeader("X-Kept-Answer", "true");
            mExchange.respond(
                    stored.get().status(), stored.get().contentType(), stored.get().body());
        } else if (stored.isPresent()) {
            String detail = "The call has run; its response was too long to store.";
            mExchange.respond(new Problem(409, "already-run", detail, Ran.YES, false, 0));
        } else {
            String detail = "Another attempt with this key is running or was lost.";
            mExchange.respond(Problem.mayHaveRun(409, "running-or-lost", detail, false));
        }
    }

    private Optional<StoredResponse> readStoredResponse(String holder) {
        try {
            return mContext.claims().readResponse(holder).join();
        } catch (CompletionException e) {
            LOG.info("caller: A stored response can't be read: {}.", e.getMessage());
            return Optional.empty();
        }
    }

    private void relay(Decision.Assigned assigned) throws IOException {
        byte[] body;
        HttpClientResponse response = mSender.send(assigned.endpoint(), mRequest);
        try (response) {
            body = response.readAll(MAXIMUM_RESPONSE_BYTES);
        }
        if (mContext.openCalls().isAborted(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        mAttempt.filter(attempt -> mClaimed)
                .ifPresent(attempt -> storeResponse(attempt, response, body));
        long millis = MonotonicClock.nowMillis() - mCall.arrivalMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, 0);
        mContext.openCalls().markCompleted(mCall.identifier());
        mContext.observer().recordCompleted(mCall, new CallObserver.Timing(millis, 0, 0));
        mExchange.respond(response.status(), response.contentType(), body);
    }

    private void storeResponse(Attempt attempt, HttpClientResponse response, byte[] body) {
        try {
            mContext.claims()
                    .storeResponse(
                            attempt,
                            StoredResponse.of(response.status(), response.contentType(), body))
                    .join();
        } catch (CompletionException e) {
            LOG.warn("caller: A response could not be stored: {}.", e.getMessage());
        }
    }

    /** Returns the caller's headers that are forwarded to a service. */
    static Map<String, String> forwardedHeaders(HttpExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (String name : new String[] {"Idempotency-Key", "Accept", "Accept-Language"}) {
            exchange.header(name).ifPresent(value -> headers.put(name, value));
        }
        return headers;
    }
}
