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
 * <p>Until the first byte went to the caller, a failed engine is replaced by another one; after
 * that the stream is resumed where the engine can. Invariant: a caller gets whole events of its own
 * request only, and an incomplete stream ends with an error event. Used by one traffic thread.
 */
final class ModelRelay {
    private static final Logger LOG = LogManager.getLogger(ModelRelay.class);
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_ANSWER_BYTES = 32 * 1_024 * 1_024;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private final CallerContext mContext;
    private final HttpExchange mExchange;
    private final Call mCall;
    private final ModelRequest mRequest;
    private final HandOver mHandOver;

    private ModelRelay(
            CallerContext context, HttpExchange exchange, Call call, ModelRequest request) {
        mContext = context;
        mExchange = exchange;
        mCall = call;
        mRequest = request;
        mHandOver = HandOver.create(context, call);
    }

    static ModelRelay create(
            CallerContext context, HttpExchange exchange, Call call, ModelRequest request) {
        return new ModelRelay(context, exchange, call, request);
    }

    /** Answers the exchange. */
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
                if (mContext.openCalls().isEnded(mCall.identifier())) {
                    break;
                }
                LOG.info("caller: Endpoint {} failed a call: {}.", assigned.endpoint(), failure);
            }
        }
        mContext.observer().recordFailed(mCall);
        mExchange.respond(
                mHandOver.mayHaveRun()
                        ? Problem.mayHaveRun(502, "endpoint-failed", failure, true)
                        : Problem.notRunRetryAfter(UNAVAILABLE, "endpoint-failed", failure, 1));
    }

    private void refuse(Decision.Refused refused) {
        mContext.observer().recordRefused(mCall);
        Decision.RefusalKind kind = refused.kind();
        mExchange.respond(
                mHandOver.mayHaveRun()
                        ? Problem.mayHaveRun(kind.status(), kind.type(), refused.reason(), true)
                        : Problem.notRunRetryAfter(
                                kind.status(),
                                kind.type(),
                                refused.reason(),
                                refused.retryAfterSeconds()));
    }

    private void relay(Decision.Assigned assigned) throws IOException {
        HttpClientRequest request = callOut();
        if (assigned.isSplit()) {
            request = readPrompt(assigned, request);
        }
        HttpClientResponse reply = send(assigned.endpoint(), request);
        if (mRequest.stream() && reply.status() == OK) {
            beginStream(assigned, reply);
        } else {
            answerWhole(reply);
        }
    }

    private HttpClientRequest callOut() {
        return new HttpClientRequest(
                "POST", mExchange.path(), Map.of(), "application/json", mRequest.body(), true);
    }

    /** Has another engine read the prompt and export its KV cache. */
    private HttpClientRequest readPrompt(Decision.Assigned assigned, HttpClientRequest request)
            throws IOException {
        HttpClientRequest prefill =
                new HttpClientRequest(
                        "POST", "/v1/prefill", Map.of(), "application/json", mRequest.body(), true);
        try (HttpClientResponse reply = send(assigned.prefillEndpoint(), prefill)) {
            reply.readAll(MAXIMUM_ANSWER_BYTES);
            if (reply.status() != OK) {
                throw new IOException("prefill was answered with " + reply.status());
            }
        }
        HostPort source = mContext.addressOf(assigned.prefillEndpoint());
        return request.withHeader("X-Kv-Source", source + "/" + mCall.identifier());
    }

    private HttpClientResponse send(String endpoint, HttpClientRequest request) throws IOException {
        HttpClientResponse reply = mHandOver.send(endpoint, request);
        if (reply.status() == UNAVAILABLE) {
            reply.readAll(MAXIMUM_ANSWER_BYTES);
            reply.close();
            throw new IOException("endpoint refused the call");
        }
        return reply;
    }

    private void answerWhole(HttpClientResponse reply) throws IOException {
        byte[] body;
        try (reply) {
            body = reply.readAll(MAXIMUM_ANSWER_BYTES);
        }
        if (mContext.openCalls().isEnded(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        int tokens = mRequest.outputTokens(body);
        long millis = MonotonicClock.nowMillis() - mCall.arrivalMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, tokens);
        mContext.openCalls().answered(mCall.identifier());
        mContext.observer().recordCompleted(mCall, new CallObserver.Timing(millis, 0, tokens));
        mExchange.respond(reply.status(), reply.contentType(), body);
    }

    private void beginStream(Decision.Assigned assigned, HttpClientResponse reply)
            throws IOException {
        SseReader reader = SseReader.of(reply);
        Optional<byte[]> first;
        try {
            first = reader.next();
        } catch (IOException e) {
            reply.close();
            throw e;
        }
        long firstTokenMillis = MonotonicClock.nowMillis();
        mContext.dispatcher().recordFirstToken(mCall.identifier());
        // The body is written after this method returns, on the same thread.
        mContext.openCalls().keep(mCall.identifier());
        mExchange.respondStream(
                OK,
                "text/event-stream",
                output -> {
                    try {
                        stream(output, assigned, reply, reader, first, firstTokenMillis);
                    } finally {
                        mContext.openCalls().release(mCall.identifier());
                    }
                });
    }

    private void stream(
            OutputStream output,
            Decision.Assigned assigned,
            HttpClientResponse reply,
            SseReader reader,
            Optional<byte[]> first,
            long firstTokenMillis)
            throws IOException {
        AtomicInteger sent = new AtomicInteger();
        try {
            try (reply) {
                pump(output, reader, first, sent);
            } catch (CallerLeftException e) {
                throw e;
            } catch (IOException e) {
                resume(output, assigned, sent);
            }
            output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
            finish(sent.get(), firstTokenMillis);
        } catch (CallerLeftException e) {
            mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.CANCELLED, sent.get());
            mContext.observer().recordFailed(mCall);
            throw e;
        } catch (IOException e) {
            mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.FAILED, sent.get());
            mContext.observer().recordFailed(mCall);
            writeErrorEvent(output, e);
        }
    }

    private void pump(
            OutputStream output, SseReader reader, Optional<byte[]> first, AtomicInteger sent)
            throws IOException {
        Optional<byte[]> event = first;
        while (event.isPresent()) {
            writeEvent(output, event.get(), !reader.hasBuffered());
            sent.incrementAndGet();
            event = reader.next();
        }
    }

    private void resume(OutputStream output, Decision.Assigned assigned, AtomicInteger sent)
            throws IOException {
        if (mContext.openCalls().isEnded(mCall.identifier())) {
            throw new IOException("key was withdrawn");
        }
        String target = "/v1/resume/" + mCall.identifier() + "?from=" + sent.get();
        try (HttpClientResponse reply = send(assigned.endpoint(), HttpClientRequest.get(target))) {
            if (reply.status() != OK) {
                throw new IOException("stream broke and can't be resumed");
            }
            SseReader reader = SseReader.of(reply);
            pump(output, reader, reader.next(), sent);
        }
    }

    private void finish(int sent, long firstTokenMillis) {
        long now = MonotonicClock.nowMillis();
        double between = sent > 1 ? (now - firstTokenMillis) / (sent - 1.0) : 0;
        mContext.dispatcher().recordEnd(mCall.identifier(), Outcome.COMPLETED, sent);
        mContext.openCalls().answered(mCall.identifier());
        mContext.observer()
                .recordCompleted(
                        mCall,
                        new CallObserver.Timing(
                                firstTokenMillis - mCall.arrivalMillis(), between, sent));
    }

    private static void writeEvent(OutputStream output, byte[] event, boolean flush)
            throws CallerLeftException {
        try {
            output.write(event);
            if (flush) {
                output.flush();
            }
        } catch (IOException e) {
            throw new CallerLeftException(e);
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

    /** The caller can't be written to any more. */
    private static final class CallerLeftException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerLeftException(IOException cause) {
            super("caller left", cause);
        }
    }
}
