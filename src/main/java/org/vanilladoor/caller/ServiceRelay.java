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
 * <p>Invariants: a call that may not be repeated is handed over at most once, and with an
 * idempotency key only under a claim; {@code ran: no} is said of a key only after its close record
 * stands. Used by one traffic thread.
 */
final class ServiceRelay {
    private static final Logger LOG = LogManager.getLogger(ServiceRelay.class);
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_ANSWER_BYTES = 32 * 1_024 * 1_024;
    private static final int RETRY_AFTER_CLOSE_SECONDS = 3;
    private static final Duration RECORD_LIMIT = Duration.ofSeconds(5);
    private final CallerContext mContext;
    private final HttpExchange mExchange;
    private final Call mCall;
    private final HttpClientRequest mRequest;
    private final Optional<Attempt> mAttempt;
    private final HandOver mHandOver;
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
        mHandOver = HandOver.create(context, call);
    }

    /**
     * Returns the relay of a call.
     *
     * @param attempt the attempt, if the call may run at most once and carries an idempotency key
     */
    static ServiceRelay create(
            CallerContext context,
            HttpExchange exchange,
            Call call,
            HttpClientRequest request,
            Optional<Attempt> attempt) {
        return new ServiceRelay(context, exchange, call, request, attempt);
    }

    /** Answers the exchange. */
    void run() {
        Problem last = Problem.notRun(503, "endpoint-failed", "no endpoint was tried");
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            Decision decision = mContext.dispatcher().submit(mCall).join();
            if (decision instanceof Decision.Refused refused) {
                refuse(
                        new Problem(
                                refused.kind().status(),
                                refused.kind().type(),
                                refused.reason(),
                                mHandOver.ran(),
                                mHandOver.mayHaveRun(),
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
                last = failure(e);
                if (mHandOver.mayHaveRun() && !mCall.workClass().kind().isRetryable()) {
                    break;
                }
            }
        }
        refuse(last);
    }

    private Problem failure(IOException failure) {
        String detail = String.valueOf(failure.getMessage());
        return mHandOver.mayHaveRun()
                ? Problem.mayHaveRun(502, "endpoint-failed", detail, true)
                : Problem.notRunRetryAfter(503, "endpoint-failed", detail, 1);
    }

    /** Claims the call once; returns whether it may be handed over, or answers the exchange. */
    private boolean claim() {
        if (mAttempt.isEmpty() || mClaimed) {
            return true;
        }
        ClaimOutcome outcome = mContext.claims().claim(mAttempt.get()).join();
        if (outcome.kind() == ClaimOutcome.Kind.GRANTED) {
            mClaimed = true;
            return MonotonicClock.nowMillis() < mCall.deadlineMillis() || giveUpClaim();
        }
        answer(outcome, notRun("refused", "The attempt lost to a refusal of its key."));
        return false;
    }

    private boolean giveUpClaim() {
        refuse(notRun("deadline-not-reachable", "The claim took until the deadline."));
        return false;
    }

    private static Problem notRun(String type, String detail) {
        return Problem.notRunRetryAfter(503, type, detail, RETRY_AFTER_CLOSE_SECONDS);
    }

    private void refuse(Problem problem) {
        mContext.observer().recordRefused(mCall);
        if (mAttempt.isEmpty() || mHandOver.mayHaveRun()) {
            mExchange.respond(problem);
            return;
        }
        answer(mContext.claims().close(closing(mAttempt.get())).join(), problem);
    }

    /** Leaves the log some time to record a refusal, also after the call's own deadline. */
    private static Attempt closing(Attempt attempt) {
        long limit = MonotonicClock.nowMillis() + RECORD_LIMIT.toMillis();
        return new Attempt(
                attempt.identifier(),
                attempt.key(),
                attempt.request(),
                attempt.knownPosition(),
                Math.max(limit, attempt.deadlineMillis()));
    }

    private void answer(ClaimOutcome outcome, Problem refusal) {
        switch (outcome.kind()) {
            case CLOSED -> mExchange.respond(refusal);
            case TAKEN -> repeat(outcome.holder());
            case MISMATCH ->
                    mExchange.respond(
                            new Problem(
                                    422,
                                    "idempotency-key-reused",
                                    "The idempotency key stands for another request.",
                                    Ran.UNKNOWN,
                                    false,
                                    0));
            default ->
                    mExchange.respond(
                            Problem.mayHaveRun(
                                    503,
                                    "claim-not-settled",
                                    "The claim could not be settled in time.",
                                    false));
        }
    }

    private void repeat(String holder) {
        Optional<StoredResponse> kept = keptAnswer(holder);
        if (kept.isPresent() && kept.get().whole()) {
            mExchange.setResponseHeader("X-Kept-Answer", "true");
            mExchange.respond(kept.get().status(), kept.get().contentType(), kept.get().body());
        } else if (kept.isPresent()) {
            String detail = "The call has run; its answer was too long to keep.";
            mExchange.respond(new Problem(409, "already-run", detail, Ran.YES, false, 0));
        } else {
            String detail = "Another attempt with this key runs or was lost.";
            mExchange.respond(Problem.mayHaveRun(409, "running-or-lost", detail, false));
        }
    }

    private Optional<StoredResponse> keptAnswer(String holder) {
        try {
            return mContext.claims().readResponse(holder).join();
        } catch (CompletionException e) {
            LOG.info("caller: A kept answer can't be read: {}.", e.getMessage());
            return Optional.empty();
        }
    }

    private void relay(Decision.Assigned assigned) throws IOException {
        byte[] body;
        HttpClientResponse reply = mHandOver.send(assigned.endpoint(), mRequest);
        try (reply) {
            body = reply.readAll(MAXIMUM_ANSWER_BYTES);
        }
        if (mContext.openCalls().isEnded(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        mAttempt.filter(attempt -> mClaimed).ifPresent(attempt -> keep(attempt, reply, body));
        long millis = MonotonicClock.nowMillis() - mCall.arrivalMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, 0);
        mContext.openCalls().answered(mCall.identifier());
        mContext.observer().recordCompleted(mCall, new CallObserver.Timing(millis, 0, 0));
        mExchange.respond(reply.status(), reply.contentType(), body);
    }

    private void keep(Attempt attempt, HttpClientResponse reply, byte[] body) {
        try {
            mContext.claims()
                    .storeResponse(
                            attempt, StoredResponse.of(reply.status(), reply.contentType(), body))
                    .join();
        } catch (CompletionException e) {
            LOG.warn("caller: An answer could not be kept: {}.", e.getMessage());
        }
    }

    /** Returns the headers of a caller that a service may see. */
    static Map<String, String> forwardedHeaders(HttpExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (String name : new String[] {"Idempotency-Key", "Accept", "Accept-Language"}) {
            exchange.header(name).ifPresent(value -> headers.put(name, value));
        }
        return headers;
    }
}
