package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/** Guards against requests that are cut without an answer when a planned stop runs out of time. */
@Timeout(60)
class PlannedStopTests {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;
    private static final String EVENT = "id: 1\ndata: one\n\n";
    private final CompletableFuture<Void> mSlowResponse = new CompletableFuture<>();
    private RawObjectStore mStore;
    private ScriptedEndpoint mEndpoint;
    private HostPort mCallers;
    private ServeProcess mProcess;

    @BeforeEach
    void start() throws Exception {
        mStore = RawObjectStore.start(100);
        mEndpoint = ScriptedEndpoint.start(this::answer);
        mCallers = VmSettings.freeAddress();
        putEndpoint();
        putConfiguration();
        mProcess =
                ServeProcess.start(
                        PlatformSettings.parse(
                                "vm.toml",
                                VmSettings.text(
                                        mCallers, mStore.address(), "[bounds]", "grace_s = 4")));
        while (!call("/safe/quick").endsWith("done")) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    @AfterEach
    void stop() throws IOException {
        mEndpoint.close();
        mStore.close();
    }

    @Test
    void aRequestThatMayHaveRunIsToldSoAtTheEndOfTheGracePeriod() {
        CompletableFuture<String> response = callWhileStopping("/once/hang");
        assertThat(response.join()).startsWith("HTTP/1.1 502");
    }

    @Test
    void aStreamThatHasBegunIsCutOffAtTheEndOfTheGracePeriod() {
        String response = callWhileStopping("/stream/hang").join();
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).contains(EVENT);
        assertThat(response).doesNotContain("\r\n0\r\n");
    }

    @Test
    void aRequestThatEndsAfterOthersAreRefusedGetsItsAnswer() throws Exception {
        CompletableFuture<String> response = callAndAwaitEndpoint("/once/slow");
        CompletableFuture<Void> stop = CompletableFuture.runAsync(mProcess::stop);
        awaitRefusals();
        mSlowResponse.complete(null);
        assertThat(response.join()).endsWith("done");
        stop.join();
    }

    @Test
    void aBodyThatArrivesAfterTheLastAcceptedRequestIsRefused() throws Exception {
        try (Socket socket = open()) {
            byte[] request = GatewayFixture.request("POST", "/once/quick", "late", "key", "");
            socket.getOutputStream().write(request, 0, request.length - 1);
            CompletableFuture<Void> stop = CompletableFuture.runAsync(mProcess::stop);
            awaitRefusals();
            socket.getOutputStream().write(request, request.length - 1, 1);
            assertThat(read(socket)).startsWith("HTTP/1.1 503");
            stop.join();
        }
        assertThat(
                        mEndpoint.received().stream()
                                .noneMatch(request -> request.body().equals("late")))
                .isTrue();
    }

    /** Sends a request, stops the process once its endpoint has it, and returns the response. */
    private CompletableFuture<String> callWhileStopping(String path) {
        CompletableFuture<String> response = callAndAwaitEndpoint(path);
        mProcess.stop();
        return response;
    }

    private void awaitRefusals() throws InterruptedException {
        while (!call("/safe/quick").startsWith("HTTP/1.1 503")) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private CompletableFuture<String> callAndAwaitEndpoint(String path) {
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> call(path));
        GatewayFixture.waitUntil(
                () ->
                        mEndpoint.received().stream()
                                .anyMatch(received -> received.head().contains(path)));
        return response;
    }

    private Answer answer(Received received) {
        if (received.head().contains("/stream/hang")) {
            return ScriptedEndpoint.streamResponse(received, End.HANG, EVENT);
        }
        if (received.head().contains("hang")) {
            return new Answer("", End.HANG);
        }
        if (received.head().contains("slow")) {
            mSlowResponse.join();
        }
        return ScriptedEndpoint.response(received, 200, "", "done");
    }

    private void putEndpoint() {
        mStore.put(
                EndpointFeed.KIND,
                "e",
                "{\"service\":\"s\",\"addr\":\""
                        + mEndpoint.address()
                        + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
    }

    private void putConfiguration() {
        mStore.put(
                ConfigurationFeed.KIND,
                "main",
                "{\"version\":1,\"routes\":["
                        + route("safe", "safe")
                        + ","
                        + route("once", "unsafe")
                        + ","
                        + route("stream", "stream")
                        + "],\"services\":[{\"name\":\"s\"}]}");
    }

    private static String route(String name, String type) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\"h\",\"prefix\":\"/"
                + name
                + "/\",\"type\":\""
                + type
                + "\",\"service\":\"s\",\"timeout_ms\":30000,\"public\":true}";
    }

    private Socket open() throws IOException {
        Socket socket = new Socket(mCallers.host(), mCallers.port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns the response, or an empty string if there is none. */
    private String call(String path) {
        try (Socket socket = open()) {
            byte[] request = GatewayFixture.request("POST", path, "body", "key", "");
            String patient = new String(request, StandardCharsets.US_ASCII);
            socket.getOutputStream()
                    .write(patient.replace("5000", "30000").getBytes(StandardCharsets.US_ASCII));
            return read(socket);
        } catch (IOException e) {
            return "";
        }
    }

    private static String read(Socket socket) throws IOException {
        StringBuilder response = new StringBuilder();
        try {
            for (int next = socket.getInputStream().read(); next >= 0; ) {
                response.append((char) next);
                next = socket.getInputStream().read();
            }
        } catch (IOException e) {
            // A response that is cut off may end with a reset.
            response.append("");
        }
        return response.toString();
    }
}
