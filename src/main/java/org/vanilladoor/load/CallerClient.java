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
 * Sends calls as a caller does and judges the answers.
 *
 * <p>Safe for use by any thread; calls block.
 */
public final class CallerClient implements AutoCloseable {
    private static final Duration READ_LIMIT = Duration.ofSeconds(130);
    private static final int MAXIMUM_ANSWER_BYTES = 32 * 1_024 * 1_024;
    private static final int BUFFER_BYTES = 8_192;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OK = 200;
    private final HttpConnectionPool mLinks = HttpConnectionPool.create(Duration.ofSeconds(2));

    private CallerClient() {}

    /** Returns a client with connections of its own. */
    public static CallerClient create() {
        return new CallerClient();
    }

    /**
     * Sends a chat call with a stream.
     *
     * @param plannedNanos time at which the call was to begin, by {@link System#nanoTime}
     */
    public CallResult chat(HostPort entry, PlannedCall call, long plannedNanos) {
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

    /** Sends a call to a plain service; see {@link #chat} for the parameters. */
    public CallResult service(HostPort entry, PlannedCall call, long plannedNanos) {
        boolean once = !call.idempotencyKey().isEmpty();
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + call.key());
        if (once) {
            headers.put("Idempotency-Key", call.idempotencyKey());
        }
        HttpClientRequest request =
                new HttpClientRequest(
                        once ? "POST" : "GET",
                        "/services/" + call.pool() + "/" + call.workClass(),
                        headers,
                        "text/plain",
                        once ? call.text().getBytes(StandardCharsets.UTF_8) : new byte[0],
                        !once);
        return send(entry, request, reply -> readWhole(reply, plannedNanos));
    }

    @Override
    public void close() {
        mLinks.close();
    }

    private CallResult send(HostPort entry, HttpClientRequest request, AnswerReader reader) {
        try (HttpClientResponse reply = mLinks.send(entry, request, READ_LIMIT)) {
            if (reply.status() != OK) {
                return refusal(reply);
            }
            return reader.read(reply);
        } catch (NotSentException e) {
            return CallResult.without(CallResult.Outcome.NOT_RUN, "connection refused");
        } catch (IOException | UncheckedIOException e) {
            return CallResult.without(CallResult.Outcome.UNKNOWN, String.valueOf(e.getMessage()));
        }
    }

    private static CallResult refusal(HttpClientResponse reply) throws IOException {
        JsonNode problem = Json.readTree(reply.readAll(MAXIMUM_ANSWER_BYTES));
        boolean notRun = problem.path("ran").asText().equals("no");
        return CallResult.without(
                notRun ? CallResult.Outcome.NOT_RUN : CallResult.Outcome.UNKNOWN,
                problem.path("type").asText() + " " + problem.path("detail").asText());
    }

    private static CallResult readWhole(HttpClientResponse reply, long plannedNanos)
            throws IOException {
        String identifier = reply.header("X-Request-Id").orElse("");
        String text = new String(reply.readAll(MAXIMUM_ANSWER_BYTES), StandardCharsets.UTF_8);
        double millis = (System.nanoTime() - plannedNanos) / NANOS_PER_MILLI;
        boolean kept = reply.header("X-Kept-Answer").isPresent();
        boolean own = kept || text.startsWith(identifier);
        return new CallResult(
                own ? CallResult.Outcome.ANSWERED : CallResult.Outcome.WRONG, millis, 0, "");
    }

    /** Stand-in engines number their tokens, so that a lost or foreign one is seen. */
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
            return CallResult.without(CallResult.Outcome.UNKNOWN, "error event");
        }
        boolean whole = text.toString().endsWith("data: [DONE]\n\n");
        for (int i = 0; whole && i < call.outputTokens(); i++) {
            whole = text.indexOf(identifier + ":" + i + " ") >= 0;
        }
        double between =
                call.outputTokens() > 1
                        ? (lastNanos - firstNanos) / NANOS_PER_MILLI / (call.outputTokens() - 1)
                        : 0;
        return new CallResult(
                whole ? CallResult.Outcome.ANSWERED : CallResult.Outcome.WRONG,
                (firstNanos - plannedNanos) / NANOS_PER_MILLI,
                between,
                "");
    }

    /** Turns a successful answer into a result. */
    @FunctionalInterface
    private interface AnswerReader {
        CallResult read(HttpClientResponse reply) throws IOException;
    }
}
