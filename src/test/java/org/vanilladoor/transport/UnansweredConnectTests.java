package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/** Peers that do not answer attempts to connect. */
@Timeout(60)
class UnansweredConnectTests {
    /** More than the pool can hold, besides those that a full backlog still accepts. */
    private static final int ATTEMPTS = 4_100;

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long WAIT_SECONDS = 20;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final ConnectionPool mConnections =
            ConnectionPool.start(mControl, MemoryBudget.ofHeap(), anomaly -> {});

    @AfterEach
    void stop() {
        mConnections.close();
        mControl.close();
    }

    @Test
    void attemptsThatTimedOutDoNotKeepOtherPeersFromBeingReached() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket silent = new ServerSocket(0, 1, local);
                ServerSocket healthy = new ServerSocket(0, 50, local)) {
            CountDownLatch ended = new CountDownLatch(ATTEMPTS);
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                mControl.execute(
                        () ->
                                mConnections.probe(
                                        new HostPort("127.0.0.1", silent.getLocalPort()),
                                        CONNECT_TIMEOUT_MILLIS,
                                        reachability -> ended.countDown()));
            }
            assertThat(ended.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<ConnectionPool.Reachability> result = new CompletableFuture<>();
            mControl.execute(
                    () ->
                            mConnections.probe(
                                    new HostPort("127.0.0.1", healthy.getLocalPort()),
                                    5 * CONNECT_TIMEOUT_MILLIS,
                                    result::complete));
            assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(ConnectionPool.Reachability.LISTENING);
        }
    }
}
