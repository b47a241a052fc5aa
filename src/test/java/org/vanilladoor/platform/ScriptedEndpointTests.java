package org.vanilladoor.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.HostPort;

/** Checks what the tests rely on when an endpoint crashes. */
@Timeout(60)
class ScriptedEndpointTests {
    private static final int ENDPOINTS = 2_000;

    // Guards against a crash whose port still accepts connections, so that it looks like no crash.
    @Test
    void aClosedEndpointRefusesConnectionsAtOnce() throws IOException {
        for (int number = 0; number < ENDPOINTS; number++) {
            ScriptedEndpoint endpoint = ScriptedEndpoint.start(received -> null);
            HostPort address = endpoint.address();
            // Once a connection is accepted, the endpoint waits for the next one.
            new Socket(address.host(), address.port()).close();
            GatewayFixture.waitUntil(() -> endpoint.connectionCount() == 1);
            endpoint.close();
            assertThrows(
                    ConnectException.class,
                    () -> new Socket(address.host(), address.port()).close(),
                    "endpoint " + number);
        }
    }
}
