package org.vanilladoor.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.http.NotSentException;

/**
 * Sends calls to an entry as a caller does and checks the responses against the format of the
 * stand-ins, which write the identifier of the request into each response.
 *
 * <p>Safe for use by any thread; methods block until the response is complete.
 */
public final class CallerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(130);
    private static final int MAXIMUM_RESPONSE_BYTES = 32 * 1_024 * 1_024;
    private static final int BUFFER_BYTES = 8_192;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HTTP_OK = 200;
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(CONNECT_TIMEOUT);

    private CallerClient() {}

    /** Returns a client with its own connection pool. */
    public static CallerClient create() {
        return new CallerClient();
    }

    /**
     * Sends a chat completion request and reads the response as a stream.
     *
     * @param plannedNanos planned start of the call, by {@link System#nanoTime}; times count from
     *     it
     */
    public CallResult sendChat(HostPort entry, PlannedCall call, long plannedNanos) {
        ObjectNode body = Json.newObject();
        body.put("model", call.pool());
        body.put("stream", true);
        body.put("max_tokens", call.outputTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", call.text());
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + call.key());
        headers.put("X-Work-Class", call.workClass());
        HttpClientRequest request =
                new HttpClientRequest(
                        "POST",
                        "/v1/chat/completions",
                        headers,
                        "application/json",
                        Json.write(body),
                        true);
        return send(entry, request, reply -> readStream(reply, call, plannedNanos));
    }

    /**
     * Sends a call to a plain service: a POST with its idempotency key if it has one, otherwise a
     * GET. See {@link #sendChat} for the parameters.
     */
    public CallResult sendServiceCall(HostPort entry, PlannedCall call, long plannedNanos) {
        boolean isAtMostOnce = !call.idempotencyKey().isEmpty();
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + call.key());
        if (isAtMostOnce) {
            headers.put("Idempotency-Key", call.idempotencyKey());
        }
        HttpClientRequest request =
                new HttpClientRequest(
                        isAtMostOnce ? "POST" : "GET",
                        "/services/" + call.pool() + "/" + call.workClass(),
                        headers,
                        "text/plain",
                        isAtMostOnce ? call.text().getBytes(StandardCharsets.UTF_8) : new byte[0],
                        !isAtMostOnce);
        return send(entry, request, reply -> readResponse(reply, plannedNanos));
    }

    @Override
    public void close() {
        mConnectionPool.close();
    }

    private CallResult send(HostPort entry, HttpClientRequest request, ResponseReader reader) {
        try (HttpClientResponse reply = mConnectionPool.send(entry, request, RESPONSE_TIMEOUT)) {
            if (reply.status() != HTTP_OK) {
                return toRefusalResult(reply);
            }
            return reader.read(reply);
        } catch (NotSentException e) {
            return CallResult.withoutTimes(CallResult.Outcome.NOT_RUN, "connection refused");
        } catch (IOException | UncheckedIOException e) {
            return CallResult.withoutTimes(
                    CallResult.Outcome.UNKNOWN, String.valueOf(e.getMessage()));
        }
    }

    private static CallResult toRefusalResult(HttpClientResponse reply) throws IOException {
        JsonNode problem = Json.readTree(reply.readAll(MAXIMUM_RESPONSE_BYTES));
        boolean isNotRun = problem.path("ran").asText().equals("no");
        return CallResult.withoutTimes(
                isNotRun ? CallResult.Outcome.NOT_RUN : CallResult.Outcome.UNKNOWN,
                problem.path("type").asText() + " " + problem.path("detail").asText());
    }

    private static CallResult readResponse(HttpClientResponse reply, long plannedNanos)
            throws IOException {
        String identifier = reply.header("X-Request-Id").orElse("");
        String text = new String(reply.readAll(MAXIMUM_RESPONSE_BYTES), StandardCharsets.UTF_8);
        double elapsedMillis = (System.nanoTime() - plannedNanos) / NANOS_PER_MILLI;
        // A stored response contains the identifier of the request that was run, not of its retry.
        boolean isStored = reply.header("X-Kept-Answer").isPresent();
        boolean isOwn = isStored || text.startsWith(identifier);
        return new CallResult(
                isOwn ? CallResult.Outcome.ANSWERED : CallResult.Outcome.WRONG,
                elapsedMillis,
                0,
                "");
    }

    /**
     * Reads a stream of tokens. The stand-in engines write each token as the request's identifier
     * and a sequence number, so that a missing token or one of another request is detected.
     */
    private static CallResult readStream(
            HttpClientResponse reply, PlannedCall call, long plannedNanos) throws IOException {
        String identifier = reply.header("X-Request-Id").orElse("");
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[BUFFER_BYTES];
        long firstNanos = 0;
        for (int count = reply.read(buffer); count >= 0; count = reply.read(buffer)) {
            if (firstNanos == 0) {
                firstNanos = System.nanoTime();
            }
            text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
        }
        long lastNanos = System.nanoTime();
        if (text.indexOf("event: error") >= 0) {
            return CallResult.withoutTimes(CallResult.Outcome.UNKNOWN, "error event");
        }
        boolean isComplete = text.toString().endsWith("data: [DONE]\n\n");
        for (int i = 0; isComplete && i < call.outputTokens(); i++) {
            isComplete = text.indexOf(identifier + ":" + i + " ") >= 0;
        }
        double meanBetweenTokensMillis =
                call.outputTokens() > 1
                        ? (lastNanos - firstNanos) / NANOS_PER_MILLI / (call.outputTokens() - 1)
                        : 0;
        return new CallResult(
                isComplete ? CallResult.Outcome.ANSWERED : CallResult.Outcome.WRONG,
                (firstNanos - plannedNanos) / NANOS_PER_MILLI,
                meanBetweenTokensMillis,
                "");
    }

    /** Reads a successful response and converts it to a result. */
    @FunctionalInterface
    private interface ResponseReader {
        CallResult read(HttpClientResponse reply) throws IOException;
    }
}
