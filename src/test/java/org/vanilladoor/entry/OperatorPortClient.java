package org.vanilladoor.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;

/** Sends requests to the operators' port of an entry and returns the HTTP status. */
record OperatorPortClient(HostPort address) implements AutoCloseable {
    int call(String method, String target, String body) throws IOException {
        HttpClientRequest request =
                new HttpClientRequest(
                        method,
                        target,
                        Map.of("Authorization", "Bearer " + LocalFleet.CREDENTIAL),
                        "application/octet-stream",
                        body.getBytes(StandardCharsets.UTF_8),
                        false);
        try (HttpConnectionPool connections = HttpConnectionPool.create(Duration.ofSeconds(1));
                HttpClientResponse reply =
                        connections.send(address, request, Duration.ofSeconds(10))) {
            reply.readAll(10_000_000);
            return reply.status();
        }
    }

    int call(String method, String target) throws IOException {
        return call(method, target, "");
    }

    @Override
    public void close() {}
}
