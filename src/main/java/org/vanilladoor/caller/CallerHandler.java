package org.vanilladoor.caller;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.vanilladoor.claim.Attempt;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.configuration.Model;
import org.vanilladoor.configuration.Service;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.engine.PromptBlocks;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpHandler;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;

/**
 * Handles the requests of callers.
 *
 * <p>Each request uses the configuration that was active when it was authenticated, until it ends.
 * Safe for use by any thread.
 */
public final class CallerHandler implements HttpHandler {
    private static final String SERVICES_PREFIX = "/services/";
    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;
    private final EntryState mState;
    private final CallerContext mContext;
    private final RetryDetector mRetryDetector = RetryDetector.create(MonotonicClock::nowMillis);
    private final int mMaximumBodyBytes;

    private CallerHandler(EntryState state, CallerContext context, int maximumBodyBytes) {
        mState = state;
        mContext = context;
        mMaximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Returns a handler.
     *
     * @param state availability and configuration of the process
     * @param context components that the relays of calls share
     * @param maximumBodyBytes maximum length of a request body
     */
    public static CallerHandler create(
            EntryState state, CallerContext context, int maximumBodyBytes) {
        return new CallerHandler(state, context, maximumBodyBytes);
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        String identifier = Identifiers.random();
        exchange.setResponseHeader("X-Request-Id", identifier);
        checkAvailability(exchange);
        String path = exchange.path();
        if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
            handleModelRequest(exchange, identifier);
        } else if (path.startsWith(SERVICES_PREFIX)) {
            handleServiceRequest(exchange, identifier, path.substring(SERVICES_PREFIX.length()));
        } else {
            throw refusal(404, "unknown-path", "No such path: " + path);
        }
    }

    private void checkAvailability(HttpExchange exchange) {
        EntryState.Availability availability = mState.availability();
        if (availability == EntryState.Availability.DRAINING) {
            exchange.setResponseHeader("Connection", "close");
        }
        if (availability == EntryState.Availability.STARTING) {
            throw new ProblemException(
                    Problem.notRunRetryAfter(503, "not-ready", "The entry is not ready.", 1));
        }
    }

    private void handleModelRequest(HttpExchange exchange, String identifier) throws IOException {
        if (!exchange.method().equals("POST")) {
            throw refusal(405, "method-not-allowed", "Only POST is allowed here.");
        }
        Admission admission = Admission.of(mState.configuration(), mState.receivesKeyWithdrawals());
        Caller caller = admission.authenticate(exchange);
        ModelRequest request = ModelRequest.parse(exchange.readBody(mMaximumBodyBytes));
        Model model = admission.requireModel(request.model());
        WorkClass workClass =
                admission.classForModel(model, caller, exchange.header("X-Work-Class"));
        String digest = Digests.sha256(caller.team() + ':' + Digests.sha256(request.body()));
        Call call =
                new Call(
                        identifier,
                        caller.team(),
                        workClass,
                        model.name(),
                        PromptBlocks.estimateTokens(request.prompt()),
                        request.maximumOutputTokens(),
                        PromptBlocks.digests(
                                EndpointClient.cacheScope(caller.team()), request.prompt()),
                        mRetryDetector.begin(digest),
                        MonotonicClock.nowMillis());
        runRelay(
                call,
                caller,
                digest,
                () -> ModelRelay.create(mContext, exchange, call, request).run());
    }

    private void handleServiceRequest(
            HttpExchange exchange, String identifier, String pathAfterPrefix) throws IOException {
        int slash = pathAfterPrefix.indexOf('/');
        String name = slash < 0 ? pathAfterPrefix : pathAfterPrefix.substring(0, slash);
        Admission admission = Admission.of(mState.configuration(), mState.receivesKeyWithdrawals());
        Service service = admission.requireService(name);
        Caller caller = admission.authenticate(exchange, service);
        WorkClass workClass = admission.classForService(service, caller, exchange.method());
        byte[] body = exchange.readBody(mMaximumBodyBytes);
        String target = exchange.target().substring(SERVICES_PREFIX.length() + name.length());
        HttpClientRequest request =
                new HttpClientRequest(
                        exchange.method(),
                        target.isEmpty() ? "/" : target,
                        ServiceRelay.forwardedHeaders(exchange),
                        exchange.header("Content-Type").orElse("application/octet-stream"),
                        body,
                        workClass.kind().isRetryable());
        String digest =
                Digests.sha256(
                        String.join(
                                ":",
                                caller.team(),
                                request.method(),
                                request.target(),
                                Digests.sha256(body)));
        Call call =
                new Call(
                        identifier,
                        caller.team(),
                        workClass,
                        service.name(),
                        0,
                        0,
                        List.of(),
                        mRetryDetector.begin(digest) && workClass.kind().isRetryable(),
                        MonotonicClock.nowMillis());
        Optional<Attempt> attempt = createAttempt(exchange, call, digest);
        runRelay(
                call,
                caller,
                digest,
                () -> ServiceRelay.create(mContext, exchange, call, request, attempt).run());
    }

    private Optional<Attempt> createAttempt(HttpExchange exchange, Call call, String digest) {
        Optional<String> key = exchange.header("Idempotency-Key");
        if (call.workClass().kind().isRetryable() || key.isEmpty()) {
            return Optional.empty();
        }
        if (key.get().isBlank() || key.get().length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH) {
            throw refusal(
                    400,
                    "invalid-idempotency-key",
                    "The idempotency key must have 1 to 255 characters.");
        }
        return Optional.of(
                mContext.claims()
                        .createAttempt(call.team(), key.get(), digest, call.deadlineMillis())
                        .join());
    }

    private void runRelay(Call call, Caller caller, String digest, Runnable relay) {
        OpenCalls openCalls = mContext.openCalls();
        openCalls.add(
                call.identifier(), caller, completed -> mRetryDetector.end(digest, completed));
        try {
            relay.run();
        } finally {
            openCalls.endUnlessKeptOpen(call.identifier());
        }
    }

    private static ProblemException refusal(int status, String type, String detail) {
        return new ProblemException(Problem.notRun(status, type, detail));
    }
}
