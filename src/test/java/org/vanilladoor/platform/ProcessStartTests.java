package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.HostPort;

/** Guards against a start that spends its processor time on refusing the callers. */
@Timeout(60)
class ProcessStartTests {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private RawObjectStore mStore;
    private ScriptedEndpoint mEndpoint;
    private HostPort mCallers;
    private ServeProcess mProcess;

    @BeforeEach
    void startPlatform() throws IOException {
        mStore = RawObjectStore.start(100);
        mEndpoint =
                ScriptedEndpoint.start(
                        received -> ScriptedEndpoint.response(received, 200, "", "done"));
        mCallers = VmSettings.freeAddress();
    }

    @AfterEach
    void stop() throws IOException {
        mProcess.stop();
        mEndpoint.close();
        mStore.close();
    }

    @Test
    void theFirstRequestThatAStartedProcessAcceptsIsServed() throws IOException {
        mStore.put(
                EndpointFeed.KIND,
                "e",
                "{\"service\":\"s\",\"addr\":\""
                        + mEndpoint.address()
                        + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
        mStore.put(
                ConfigurationFeed.KIND,
                "main",
                "{\"version\":1,\"routes\":[{\"name\":\"safe\",\"host\":\"h\","
                        + "\"prefix\":\"/safe/\",\"type\":\"safe\",\"service\":\"s\","
                        + "\"timeout_ms\":9000,\"public\":true}],"
                        + "\"services\":[{\"name\":\"s\"}]}");
        startProcess();
        assertThat(firstLine()).isEqualTo("HTTP/1.1 200 OK");
    }

    @Test
    void aProcessThatGetsNoConfigurationRefusesItsCallersAsNotRun() throws IOException {
        startProcess();
        assertThat(firstLine()).startsWith("HTTP/1.1 503");
    }

    private void startProcess() throws IOException {
        mProcess =
                ServeProcess.start(
                        PlatformSettings.parse(
                                "vm.toml",
                                VmSettings.text(
                                        mCallers, mStore.address(), "[bounds]", "grace_s = 1")));
    }

    private String firstLine() throws IOException {
        try (Socket socket = new Socket(mCallers.host(), mCallers.port())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(GatewayFixture.request("POST", "/safe/x", "body", "key", ""));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return response.lines().findFirst().orElse("");
        }
    }
}
