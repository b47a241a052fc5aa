package org.vanilladoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;

/** Tests a graceful stop while the body of a request has not yet been received completely. */
class StopTests {
    @Test
    void aRequestWhoseBodyArrivesDuringAStopIsServed() throws Exception {
        try (LocalFleet fleet =
                LocalFleet.start(
                        Deployment.AL_HABSI,
                        TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets()),
                        1)) {
            Entry entry = fleet.entries().get(0);
            HostPort address = entry.callerAddress();
            try (Socket socket = new Socket(address.host(), address.port())) {
                String head =
                        "POST /services/ticket-desk/buy HTTP/1.1\r\nHost: x\r\n"
                                + "Authorization: Bearer "
                                + fleet.keysByTeam().get("harbour")
                                + "\r\nContent-Length: 8\r\n\r\nhalf";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                Eventually.within(
                        Duration.ofSeconds(10),
                        "the request head is read",
                        () -> entry.busyCallers() == 1);
                CompletableFuture<Void> stop = CompletableFuture.runAsync(entry::stop);
                Eventually.within(
                        Duration.ofSeconds(10), "the entry drains", () -> !entry.isReady());
                Eventually.within(
                        Duration.ofSeconds(10),
                        "the grace period for the balancer is over",
                        entry::isBalancerGraceOver);
                assertThrows(TimeoutException.class, () -> stop.get(3, TimeUnit.SECONDS));
                socket.getOutputStream().write("half".getBytes(StandardCharsets.UTF_8));
                byte[] response = socket.getInputStream().readAllBytes();
                assertThat(new String(response, StandardCharsets.UTF_8)).contains("HTTP/1.1 200");
                stop.join();
            }
        }
    }
}
