package org.vanilladoor.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.http.HttpCallOut;
import org.vanilladoor.http.HttpLinks;
import org.vanilladoor.http.HttpReply;

/** Sends requests to the operators' port of an entry and returns the HTTP status. */
record OperatorPortClient(HostPort address) implements AutoCloseable {
    int call(String method, String target, String body) throws IOException {
        HttpCallOut request =
                new HttpCallOut(
                        method,
                        target,
                        Map.of("Authorization", "Bearer " + LocalFleet.CREDENTIAL),
                        "application/octet-stream",
                        body.getBytes(StandardCharsets.UTF_8),
                        false);
        try (HttpLinks connections = HttpLinks.create(Duration.ofSeconds(1));
                HttpReply reply = connections.send(address, request, Duration.ofSeconds(10))) {
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
