package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.transport.ResettingPeer;
import org.vanilladoor.transport.ResettingPeer.Reset;

/** Endpoints that respond to a long upload at once and reset the connection meanwhile. */
@Timeout(120)
class ResetUploadTests extends GatewayFixture {
    private static final int REPETITIONS = 5;
    private static final int BODY_BYTES = 4_000_000;
    private static final String END_OF_CHUNKS = "\r\n0\r\n\r\n";

    /** A stream that is cut off may have sent nothing so far. */
    private static final String FAILED_OR_CUT_OFF = "(?s)(HTTP/1\\.1 (200|502) .*)?";

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nVanilladoor-Attempt-Id: id-1\r\nVanilladoor-Stamp: proof\r\n"
                    + "Content-Type: text/event-stream\r\n";

    ResetUploadTests() {
        mMaximumBodyBytes = BODY_BYTES;
    }

    @ParameterizedTest
    @EnumSource(Reset.class)
    void aResponseWithoutLengthThatIsResetIsNotComplete(Reset reset) throws IOException {
        for (String rest : List.of("\r\n", "Connection: close\r\n\r\n")) {
            for (String body : List.of("", events(1), events(1_000))) {
                try (ResettingPeer peer = ResettingPeer.start(HEAD + rest + body, reset)) {
                    registerAddress("e", EngineRole.DECODE, peer.address());
                    for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                        assertFails(peer, "/once/x");
                        assertFails(peer, "/safe/x");
                        assertFailsOrIsCutOff(peer, "/chat/x");
                        assertFailsOrIsCutOff(peer, "/resume/x");
                    }
                    removeEntry("e");
                }
            }
        }
    }

    private void assertFails(ResettingPeer peer, String path) throws IOException {
        assertWithMessage(path).that(upload(peer, path)).startsWith("HTTP/1.1 502");
    }

    private void assertFailsOrIsCutOff(ResettingPeer peer, String path) throws IOException {
        String response = upload(peer, path);
        assertWithMessage(path).that(response).matches(FAILED_OR_CUT_OFF);
        assertWithMessage(path).that(response).doesNotContain(END_OF_CHUNKS);
    }

    private static String events(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj("id: %d\ndata: event\n\n"::formatted)
                .collect(Collectors.joining());
    }

    /** Sends a request, which the peer has to get, and returns what the caller got. */
    private String upload(ResettingPeer peer, String path) throws IOException {
        int responsesBefore = peer.responseCount();
        String response = call("POST", path, "b".repeat(BODY_BYTES));
        assertWithMessage(path).that(peer.responseCount()).isGreaterThan(responsesBefore);
        return response;
    }
}
