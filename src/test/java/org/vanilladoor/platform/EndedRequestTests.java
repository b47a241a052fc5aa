package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.route.RequestSizeLimits;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.RouteKind;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.ConnectionUse;

/** Guards against timers that keep requests, and so their bodies, in memory after their end. */
@Timeout(60)
class EndedRequestTests extends GatewayFixture {
    /** Far more than the tests wait. */
    private static final long TIME_LIMIT_MILLIS = 600_000;

    private static final long WAIT_MILLIS = 10_000;
    private static final int REQUESTS = 8;

    /** The check of the wait queues. */
    private static final int REPEATED_TASKS = 1;

    @BeforeEach
    void allowMuchTime() {
        mState.applyIfNewer(
                ServingConfiguration.of(
                        2,
                        List.of(
                                patientRoute("/upload/", RouteKind.AT_MOST_ONCE),
                                patientRoute("/talk/", RouteKind.STREAM)),
                        List.of(),
                        new RequestSizeLimits(8_192, 1_000),
                        Map.of(),
                        true));
    }

    @Test
    void answeredRequestsLeaveNoTimers() throws IOException {
        endpoint("e-1", received -> ScriptedEndpoint.response(received, 200, "", "fine"));
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(patientCall("/upload/x", "")).startsWith("HTTP/1.1 200");
        }
        assertNoTimersRemain();
    }

    @Test
    void refusedRequestsLeaveNoTimers() throws IOException {
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(patientCall("/upload/x", "")).startsWith("HTTP/1.1 503");
        }
        assertNoTimersRemain();
    }

    @Test
    void prefilledRequestsLeaveNoTimers() throws IOException {
        prefillEngine();
        endpoint(
                "decode-engine",
                received -> ScriptedEndpoint.streamResponse(received, End.KEEP, "id: 1\n\n"));
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(patientCall("/talk/x", "Vanilladoor-Token-Count: 9000,2\r\n"))
                    .startsWith("HTTP/1.1 200");
        }
        assertNoTimersRemain();
    }

    @Test
    void attemptsToConnectLeaveNoTimers() throws Exception {
        HostPort listening = endpoint("e-1", received -> null).address();
        for (int number = 0; number < REQUESTS; number++) {
            CompletableFuture<ConnectionPool.Reachability> result = new CompletableFuture<>();
            mControl.execute(
                    () -> mConnections.probe(listening, TIME_LIMIT_MILLIS, result::complete));
            assertThat(result.get(WAIT_MILLIS, TimeUnit.MILLISECONDS))
                    .isEqualTo(ConnectionPool.Reachability.LISTENING);
        }
        assertNoTimersRemain();
    }

    @Test
    void answeredPlatformCallsLeaveNoTimers() throws Exception {
        HostPort platform =
                endpoint(
                                "e-1",
                                received ->
                                        new ScriptedEndpoint.Answer(
                                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                                                End.KEEP))
                        .address();
        PlatformCalls calls = PlatformCalls.create(mControl, mConnections);
        for (int number = 0; number < REQUESTS; number++) {
            PlatformCalls.Response response =
                    calls.send(
                                    platform,
                                    ConnectionUse.ANY,
                                    new BasicHttpRequest("GET", "/"),
                                    Optional.empty(),
                                    TIME_LIMIT_MILLIS)
                            .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(response.status()).isEqualTo(200);
        }
        assertNoTimersRemain();
    }

    private void assertNoTimersRemain() {
        long latestMillis = MonotonicClock.nowMillis() + WAIT_MILLIS;
        while (mControl.pendingTasks() > REPEATED_TASKS
                && MonotonicClock.nowMillis() < latestMillis) {
            Thread.onSpinWait();
        }
        assertThat(mControl.pendingTasks()).isAtMost(REPEATED_TASKS);
    }

    private String patientCall(String path, String headers) throws IOException {
        String request =
                new String(
                        request("POST", path, "body", "secret", headers),
                        StandardCharsets.US_ASCII);
        return exchange(
                request.replace("Deadline-Ms: 5000", "Deadline-Ms: " + TIME_LIMIT_MILLIS)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static Route patientRoute(String prefix, RouteKind kind) {
        return new Route(
                prefix,
                "h",
                prefix,
                kind,
                TIME_LIMIT_MILLIS,
                TIME_LIMIT_MILLIS,
                TIME_LIMIT_MILLIS,
                0,
                List.of(new Route.WeightedService(Endpoints.SERVICE, 1)),
                1,
                true,
                true,
                false);
    }
}
