package org.vanilladoor.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.dispatch.Outcome;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.Problem;

/**
 * Relays one call to model engines.
 *
 * <p>Until the first byte was sent to the caller, a failed attempt is retried at an engine chosen
 * anew; after that, a broken stream is resumed at its engine, if the engine supports it. Invariant:
 * a caller receives only complete events of its own request, and an incomplete stream ends with an
 * error event. Used by one traffic thread.
 */
final class ModelRelay {
    private static final Logger LOG = LogManager.getLogger(ModelRelay.class);
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_RESPONSE_BYTES = 32 * 1_024 * 1_024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private final CallerContext mContext;
    private final HttpExchange mExchange;
    private final Call mCall;
    private final ModelRequest mRequest;
    private final CallSender mSender;

    private ModelRelay(
            CallerContext context, HttpExchange exchange, Call call, ModelRequest request) {
        mContext = context;
        mExchange = exchange;
        mCall = call;
        mRequest = request;
        mSender = CallSender.create(context, call);
    }

    static ModelRelay create(
            CallerContext context, HttpExchange exchange, Call call, ModelRequest request) {
        return new ModelRelay(context, exchange, call, request);
    }

    /** Runs the call and sends the response to the caller. */
    void run() {
        String failure = "no engine was tried";
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            Decision decision = mContext.dispatcher().submit(mCall).join();
            if (decision instanceof Decision.Refused refused) {
                refuse(refused);
                return;
            }
            Decision.Assigned assigned = (Decision.Assigned) decision;
            try {
                relay(assigned);
                return;
            } catch (IOException e) {
                failure = e.getMessage();
                mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.FAILED, 0);
                if (mContext.openCalls().isAborted(mCall.identifier())) {
                    break;
                }
                LOG.info("caller: Endpoint {} failed a call: {}.", assigned.endpoint(), failure);
            }
        }
        mContext.observer().recordFailed(mCall);
        mExchange.respond(
                mSender.mayHaveRun()
                        ? Problem.mayHaveRun(502, "endpoint-failed", failure, true)
                        : Problem.notRunRetryAfter(
                                STATUS_UNAVAILABLE, "endpoint-failed", failure, 1));
    }

    private void refuse(Decision.Refused refused) {
        mContext.observer().recordRefused(mCall);
        Decision.RefusalKind kind = refused.kind();
        mExchange.respond(
                mSender.mayHaveRun()
                        ? Problem.mayHaveRun(kind.status(), kind.type(), refused.reason(), true)
                        : Problem.notRunRetryAfter(
                                kind.status(),
                                kind.type(),
                                refused.reason(),
                                refused.retryAfterSeconds()));
    }

    private void relay(Decision.Assigned assigned) throws IOException {
        HttpClientRequest request = createEngineRequest();
        if (assigned.isSplit()) {
            request = runPrefill(assigned, request);
        }
        HttpClientResponse response = send(assigned.endpoint(), request);
        if (mRequest.stream() && response.status() == STATUS_OK) {
            startStream(assigned, response);
        } else {
            relayWholeResponse(response);
        }
    }

    private HttpClientRequest createEngineRequest() {
        return new HttpClientRequest(
                "POST", mExchange.path(), Map.of(), "application/json", mRequest.body(), true);
    }

    /**
     * Runs prefill on a separate engine and returns the request with the source of the KV cache.
     */
    private HttpClientRequest runPrefill(Decision.Assigned assigned, HttpClientRequest request)
            throws IOException {
        HttpClientRequest prefill =
                new HttpClientRequest(
                        "POST", "/v1/prefill", Map.of(), "application/json", mRequest.body(), true);
        try (HttpClientResponse response = send(assigned.prefillEndpoint(), prefill)) {
            response.readAll(MAXIMUM_RESPONSE_BYTES);
            if (response.status() != STATUS_OK) {
                throw new IOException("prefill failed with status " + response.status());
            }
        }
        HostPort source = mContext.addressOf(assigned.prefillEndpoint());
        return request.withHeader("X-Kv-Source", source + "/" + mCall.identifier());
    }

    private HttpClientResponse send(String endpoint, HttpClientRequest request) throws IOException {
        HttpClientResponse response = mSender.send(endpoint, request);
        if (response.status() == STATUS_UNAVAILABLE) {
            response.readAll(MAXIMUM_RESPONSE_BYTES);
            response.close();
            throw new IOException("endpoint refused the call with status 503");
        }
        return response;
    }

    private void relayWholeResponse(HttpClientResponse response) throws IOException {
        byte[] body;
        try (response) {
            body = response.readAll(MAXIMUM_RESPONSE_BYTES);
        }
        if (mContext.openCalls().isAborted(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        int tokens = mRequest.outputTokens(body);
        long millis = MonotonicClock.nowMillis() - mCall.arrivalMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, tokens);
        mContext.openCalls().markCompleted(mCall.identifier());
        mContext.observer().recordCompleted(mCall, new CallObserver.Timing(millis, 0, tokens));
        mExchange.respond(response.status(), response.contentType(), body);
    }

    private void startStream(Decision.Assigned assigned, HttpClientResponse response)
            throws IOException {
        SseReader reader = SseReader.of(response);
        Optional<byte[]> firstEvent;
        try {
            firstEvent = reader.next();
        } catch (IOException e) {
            response.close();
            throw e;
        }
        long firstTokenMillis = MonotonicClock.nowMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        // The body is written after this method returns, on the same thread.
        mContext.openCalls().keepOpen(mCall.identifier());
        mExchange.respondStream(
                STATUS_OK,
                "text/event-stream",
                output -> {
                    try {
                        stream(output, assigned, response, reader, firstEvent, firstTokenMillis);
                    } finally {
                        mContext.openCalls().release(mCall.identifier());
                    }
                });
    }

    private void stream(
            OutputStream output,
            Decision.Assigned assigned,
            HttpClientResponse response,
            SseReader reader,
            Optional<byte[]> firstEvent,
            long firstTokenMillis)
            throws IOException {
        AtomicInteger sentEvents = new AtomicInteger();
        try {
            try (response) {
                relayEvents(output, reader, firstEvent, sentEvents);
            } catch (CallerDisconnectedException e) {
                throw e;
            } catch (IOException e) {
                resume(output, assigned, sentEvents);
            }
            output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
            recordCompletion(sentEvents.get(), firstTokenMillis);
        } catch (CallerDisconnectedException e) {
            mContext.dispatcher()
                    .recordEnd(mCall.identifier(), Outcome.CANCELLED, sentEvents.get());
            mContext.observer().recordFailed(mCall);
            throw e;
        } catch (IOException e) {
            mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.FAILED, sentEvents.get());
            mContext.observer().recordFailed(mCall);
            writeErrorEvent(output, e);
        }
    }

    private void relayEvents(
            OutputStream output,
            SseReader reader,
            Optional<byte[]> firstEvent,
            AtomicInteger sentEvents)
            throws IOException {
        Optional<byte[]> event = firstEvent;
        while (event.isPresent()) {
            writeEvent(output, event.get(), !reader.hasBuffered());
            sentEvents.incrementAndGet();
            event = reader.next();
        }
    }

    private void resume(OutputStream output, Decision.Assigned assigned, AtomicInteger sentEvents)
            throws IOException {
        if (mContext.openCalls().isAborted(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        String target = "/v1/resume/" + mCall.identifier() + "?from=" + sentEvents.get();
        try (HttpClientResponse response =
                send(assigned.endpoint(), HttpClientRequest.get(target))) {
            if (response.status() != STATUS_OK) {
                throw new IOException("stream broke off and can't be resumed");
            }
            SseReader reader = SseReader.of(response);
            relayEvents(output, reader, reader.next(), sentEvents);
        }
    }

    private void recordCompletion(int sentEvents, long firstTokenMillis) {
        long now = MonotonicClock.nowMillis();
        double meanBetweenTokensMillis =
                sentEvents > 1 ? (now - firstTokenMillis) / (sentEvents - 1.0) : 0;
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, sentEvents);
        mContext.openCalls().markCompleted(mCall.identifier());
        mContext.observer()
                .recordCompleted(
                        mCall,
                        new CallObserver.Timing(
                                firstTokenMillis - mCall.arrivalMillis(),
                                meanBetweenTokensMillis,
                                sentEvents));
    }

    private static void writeEvent(OutputStream output, byte[] event, boolean flush)
            throws CallerDisconnectedException {
        try {
            output.write(event);
            if (flush) {
                output.flush();
            }
        } catch (IOException e) {
            throw new CallerDisconnectedException(e);
        }
    }

    private void writeErrorEvent(OutputStream output, IOException failure) throws IOException {
        Problem problem =
                Problem.mayHaveRun(
                        502, "incomplete-answer", String.valueOf(failure.getMessage()), true);
        output.write("event: error\ndata: ".getBytes(StandardCharsets.UTF_8));
        output.write(problem.toJson());
        output.write("\n\n".getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Writing to the caller failed. */
    private static final class CallerDisconnectedException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerDisconnectedException(IOException cause) {
            super("caller disconnected", cause);
        }
    }
}
