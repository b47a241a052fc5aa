package org.vanilladoor.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.entry.Eventually;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.standin.EngineFaults;
import org.vanilladoor.standin.EngineStandIn;
import org.vanilladoor.standin.ServiceStandIn;

/**
 * Valid and invalid requests of callers and responses of endpoints, at the callers' port of an
 * entry.
 */
class CallerPortTests {
    private static LocalFleet sFleet;
    private static HostPort sEntry;
    private final HttpConnectionPool mConnectionPool =
            HttpConnectionPool.create(Duration.ofSeconds(2));

    @BeforeAll
    static void startFleet() throws IOException {
        sFleet =
                LocalFleet.start(
                        Deployment.AL_HABSI,
                        TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets()),
                        1);
        sEntry = sFleet.entries().get(0).callerAddress();
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    @AfterEach
    void clearEndpointFaults() {
        setEngineFaults(EngineFaults.NONE);
        sFleet.standIns().services().values().forEach(s -> s.setFaults(EngineFaults.NONE));
        mConnectionPool.close();
    }

    private static void setEngineFaults(EngineFaults faults) {
        sFleet.standIns().engines().values().forEach(engine -> engine.setFaults(faults));
    }

    private static String key() {
        return sFleet.keysByTeam().get("harbour");
    }

    private static String chat(int tokens, boolean stream) {
        return "{\"model\":\"supper-model\",\"stream\":"
                + stream
                + ",\"max_tokens\":"
                + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    }

    private CallerResponse post(
            String path, String key, byte[] body, Map<String, String> additionalHeaders)
            throws IOException {
        Map<String, String> headers = new HashMap<>(additionalHeaders);
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        HttpClientRequest request =
                new HttpClientRequest("POST", path, headers, "application/json", body, false);
        try (HttpClientResponse response =
                mConnectionPool.send(sEntry, request, Duration.ofSeconds(40))) {
            String text = new String(response.readAll(50_000_000), StandardCharsets.UTF_8);
            return new CallerResponse(response.status(), text);
        }
    }

    private CallerResponse post(String path, String body) throws IOException {
        return post(path, key(), body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    /** A response as a caller receives it. */
    private record CallerResponse(int status, String text) {
        String problem() {
            String type =
                    Json.readTree(text.getBytes(StandardCharsets.UTF_8)).path("type").asText();
            return type.substring(type.lastIndexOf(':') + 1);
        }

        String ran() {
            return Json.readTree(text.getBytes(StandardCharsets.UTF_8)).path("ran").asText();
        }
    }

    @Nested
    class AnInvalidRequest {
        @Test
        void withoutAKeyIsRefused() throws IOException {
            CallerResponse response =
                    post("/v1/chat/completions", "", chat(1, false).getBytes(), Map.of());
            assertThat(response.status()).isEqualTo(401);
            assertThat(response.ran()).isEqualTo("no");
        }

        @Test
        void withAWrongKeyIsRefused() throws IOException {
            String wrongKey = key().substring(0, key().length() - 1) + "z";
            assertThat(
                            post(
                                            "/v1/chat/completions",
                                            wrongKey,
                                            chat(1, false).getBytes(),
                                            Map.of())
                                    .status())
                    .isEqualTo(401);
        }

        @Test
        void forAnUnknownModelIsRefused() throws IOException {
            CallerResponse response =
                    post("/v1/completions", "{\"model\":\"none\",\"prompt\":\"hello\"}");
            assertThat(response.problem()).isEqualTo("unknown-model");
        }

        @Test
        void forAnUnknownServiceIsRefused() throws IOException {
            assertThat(post("/services/none/buy", "x").problem()).isEqualTo("unknown-service");
        }

        @Test
        void forAClassThatTheModelDoesNotServeIsRefused() throws IOException {
            CallerResponse response =
                    post(
                            "/v1/chat/completions",
                            key(),
                            chat(1, false).getBytes(),
                            Map.of("X-Work-Class", "purchase"));
            assertThat(response.problem()).isEqualTo("unknown-class");
        }

        @Test
        void withBrokenJsonIsRefused() throws IOException {
            assertThat(post("/v1/chat/completions", "{\"model\":").problem())
                    .isEqualTo("invalid-request");
        }

        @Test
        void thatIsNotUtf8IsRefused() throws IOException {
            byte[] body = {'"', (byte) 0xff, (byte) 0xfe, '"'};
            assertThat(post("/v1/chat/completions", key(), body, Map.of()).problem())
                    .isEqualTo("invalid-request");
        }

        @Test
        void withAnOversizedBodyIsRefused() throws IOException {
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + key()
                            + "\r\nContent-Length: 99999999\r\n\r\n";
            assertThat(RawHttpClient.send(sEntry, head)).contains("413");
        }

        @Test
        void withAMalformedHeadIsRefusedAndItsConnectionClosed() throws IOException {
            assertThat(RawHttpClient.send(sEntry, "nonsense\r\n\r\n")).contains("HTTP/1.1 400");
        }

        @Test
        void withAnOversizedHeadIsRefusedAndTheConnectionClosed() throws IOException {
            String head = "GET / HTTP/1.1\r\nX-Long: " + "x".repeat(100_000) + "\r\n\r\n";
            String response = RawHttpClient.send(sEntry, head);
            assertThat(response.isEmpty() || response.startsWith("HTTP/1.1 4")).isTrue();
        }

        @Test
        void withADeeplyNestedBodyIsRefused() throws IOException {
            assertThat(post("/v1/chat/completions", "[".repeat(100_000)).problem())
                    .isEqualTo("invalid-request");
        }

        @Test
        void withAnOverlongIdempotencyKeyIsRefused() throws IOException {
            CallerResponse response =
                    post(
                            "/services/ticket-desk/buy",
                            key(),
                            "x".getBytes(),
                            Map.of("Idempotency-Key", "k".repeat(300)));
            assertThat(response.problem()).isEqualTo("invalid-idempotency-key");
        }
    }

    @Nested
    class AnIdempotencyKey {
        @Test
        void ofAnotherTeamIsASeparateKey() throws IOException {
            Map<String, String> shared = Map.of("Idempotency-Key", "shared");
            CallerResponse first = post("/services/ticket-desk/buy", key(), "x".getBytes(), shared);
            String keyOfOtherTeam = sFleet.keysByTeam().get("mutrah");
            CallerResponse second =
                    post("/services/ticket-desk/buy", keyOfOtherTeam, "x".getBytes(), shared);
            assertThat(second.status()).isEqualTo(200);
            assertThat(second.text()).isNotEqualTo(first.text());
        }

        @Test
        void withAnotherBodyIsRefused() throws IOException {
            Map<String, String> reused = Map.of("Idempotency-Key", "reused");
            post("/services/ticket-desk/buy", key(), "one".getBytes(), reused);
            CallerResponse second =
                    post("/services/ticket-desk/buy", key(), "two".getBytes(), reused);
            assertThat(second.status()).isEqualTo(422);
        }

        @Test
        void givesTheStoredResponseToARetry() throws IOException {
            Map<String, String> kept = Map.of("Idempotency-Key", "kept");
            CallerResponse first = post("/services/ticket-desk/buy", key(), "x".getBytes(), kept);
            CallerResponse second = post("/services/ticket-desk/buy", key(), "x".getBytes(), kept);
            assertThat(second).isEqualTo(first);
        }
    }

    @Nested
    class AnEndpoint {
        @Test
        void whoseResponseIsTruncatedCausesAnError() throws IOException {
            setEngineFaults(new EngineFaults(0, 0, false, false, true, false));
            CallerResponse response = post("/v1/chat/completions", chat(4, false));
            assertThat(response.status()).isAtLeast(500);
            assertThat(response.ran()).isEqualTo("unknown");
        }

        @Test
        void whoseResponseBelongsToAnotherRequestCausesAnError() throws IOException {
            setEngineFaults(new EngineFaults(0, 0, true, false, false, false));
            CallerResponse response = post("/v1/chat/completions", chat(4, false));
            assertThat(response.status()).isAtLeast(500);
            assertThat(response.text()).doesNotContain("another-request:");
        }

        @Test
        void thatDoesNotRespondReceivesANonRetryableCallOnce() throws IOException {
            sFleet.standIns()
                    .services()
                    .values()
                    .forEach(s -> s.setFaults(new EngineFaults(0, 0, false, true, false, false)));
            CallerResponse response =
                    post(
                            "/services/ticket-desk/buy",
                            key(),
                            "x".getBytes(),
                            Map.of("Idempotency-Key", "silent"));
            assertThat(response.ran()).isEqualTo("unknown");
            long runs =
                    sFleet.standIns().services().values().stream()
                            .map(ServiceStandIn::record)
                            .flatMap(record -> record.idempotencyKeys().stream())
                            .filter("silent"::equals)
                            .count();
            assertThat(runs).isEqualTo(1);
        }

        @Test
        void whoseStreamBreaksOffIsAskedToResumeIt() throws IOException {
            setEngineFaults(new EngineFaults(0, 3, false, false, false, false));
            CallerResponse response = post("/v1/chat/completions", chat(8, true));
            for (int i = 0; i < 8; i++) {
                assertThat(response.text()).contains(":" + i + " ");
            }
            assertThat(response.text()).endsWith("data: [DONE]\n\n");
        }

        @Test
        void neverSeesACallersKey() throws IOException {
            post("/v1/chat/completions", chat(1, false));
            post("/services/ticket-desk/buy", "x");
            Set<String> credentials = new HashSet<>();
            sFleet.standIns()
                    .engines()
                    .values()
                    .forEach(engine -> credentials.addAll(engine.record().credentials()));
            sFleet.standIns()
                    .services()
                    .values()
                    .forEach(service -> credentials.addAll(service.record().credentials()));
            assertThat(credentials).containsExactly("Bearer " + LocalFleet.CREDENTIAL);
        }

        @Test
        void thatIsLeavingGetsNoNewWorkAfterTwoSeconds() throws Exception {
            EngineStandIn leaving = sFleet.standIns().engine("supper-model-0");
            leaving.setFaults(new EngineFaults(0, 0, false, false, false, true));
            Eventually.within(
                    Duration.ofSeconds(2),
                    "the entry knows that it leaves",
                    () -> sFleet.entries().get(0).isLeaving("supper-model-0"));
            int before = leaving.record().requests().size();
            for (int i = 0; i < 30; i++) {
                post("/v1/chat/completions", chat(1, false));
            }
            assertThat(leaving.record().requests()).hasSize(before);
        }
    }

    @Nested
    class ACaller {
        @Test
        void whoDisconnectsDuringAStreamHasTheEnginesStreamCancelled() throws Exception {
            String body = chat(2_000, true);
            try (Socket socket = new Socket(sEntry.host(), sEntry.port())) {
                String head =
                        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                + key()
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body;
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                assertThat(socket.getInputStream().read()).isEqualTo('H');
            }
            Eventually.within(
                    Duration.ofSeconds(10),
                    "the engine's stream is cancelled",
                    () ->
                            sFleet.standIns().engines().values().stream()
                                    .anyMatch(engine -> engine.record().cancelled() > 0));
        }
    }
}
