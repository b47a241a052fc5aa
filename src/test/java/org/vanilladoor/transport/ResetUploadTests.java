package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.transport.ResettingPeer.Reset;

/** Peers that respond to a long upload at once and reset the connection while it is written. */
@Timeout(120)
class ResetUploadTests {
    private static final int REPETITIONS = 50;
    private static final String COMPLETE = "complete";
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\n\r\npart of the body";

    /** Only a part of the longer ones fits into the buffers of a connection. */
    private static final int[] BODY_BYTES = {500_000, 1_000_000, 4_000_000, 20_000_000};

    private static final long WAIT_SECONDS = 10;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final ConnectionPool mConnections =
            ConnectionPool.start(mControl, MemoryBudget.ofHeap(), anomaly -> {});

    @AfterEach
    void stop() {
        mConnections.close();
        mControl.close();
    }

    @ParameterizedTest
    @EnumSource(Reset.class)
    void aResponseWithoutLengthThatIsResetIsNotComplete(Reset reset) throws Exception {
        try (ResettingPeer peer = ResettingPeer.start(RESPONSE, reset)) {
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                for (int bodyBytes : BODY_BYTES) {
                    int responsesBefore = peer.responseCount();
                    assertWithMessage("%s bytes, repetition %s", bodyBytes, repetition)
                            .that(send(peer, bodyBytes).get(WAIT_SECONDS, TimeUnit.SECONDS))
                            .isNotEqualTo(COMPLETE);
                    assertWithMessage("%s bytes, repetition %s", bodyBytes, repetition)
                            .that(peer.responseCount())
                            .isGreaterThan(responsesBefore);
                }
            }
        }
    }

    private CompletableFuture<String> send(ResettingPeer peer, int bodyBytes) {
        CompletableFuture<String> result = new CompletableFuture<>();
        BasicHttpRequest request = new BasicHttpRequest("POST", "/");
        request.addHeader("Host", "h");
        byte[] body = new byte[bodyBytes];
        mControl.execute(
                () ->
                        mConnections.send(
                                peer.address(),
                                ConnectionUse.ANY,
                                1_000,
                                request,
                                body,
                                new Listener(result)));
        return result;
    }

    /** Completes with {@link #COMPLETE} or the reason of the failure. */
    private static final class Listener implements OutgoingListener {
        private final CompletableFuture<String> mResult;

        Listener(CompletableFuture<String> result) {
            mResult = result;
        }

        @Override
        public void onHead(HttpResponse head) {
            // Only the end of the response matters.
        }

        @Override
        public void onData(byte[] bytes) {
            // Only the end of the response matters.
        }

        @Override
        public void onComplete() {
            mResult.complete(COMPLETE);
        }

        @Override
        public void onFailure(CallFailure failure) {
            mResult.complete(failure.reason());
        }
    }
}
