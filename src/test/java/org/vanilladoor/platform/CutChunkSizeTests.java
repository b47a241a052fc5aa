package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/** Guards against a chunk size of leading zeros that is cut off and taken for the last chunk. */
class CutChunkSizeTests extends GatewayFixture {
    private static final String EVENT = "id: 1\ndata: one\n\n";

    @Test
    void aStreamCutInsideAChunkSizeThatBeginsWithZeroDoesNotLookComplete() throws IOException {
        ScriptedEndpoint endpoint =
                endpoint(
                        "e",
                        received ->
                                new Answer(
                                        ScriptedEndpoint.streamResponse(received, End.CLOSE, EVENT)
                                                        .text()
                                                + "00",
                                        End.CLOSE_WHEN_TRIGGERED));
        String response =
                exchange(
                        request("POST", "/chat/x", "body", "secret", ""),
                        responseSoFar -> {
                            if (responseSoFar.contains("data: one")) {
                                endpoint.triggerClose();
                            }
                        });
        assertThat(events(response)).isEqualTo(EVENT);
        assertThat(response).doesNotContain("\r\n0\r\n");
    }

    @Test
    void aCompleteStreamWhoseConnectionClosesAtOnceIsNotCutOff() throws IOException {
        endpoint(
                "e",
                received ->
                        new Answer(
                                ScriptedEndpoint.streamResponse(received, End.KEEP, EVENT).text(),
                                End.CLOSE));
        for (int number = 0; number < 200; number++) {
            String response = exchange(request("POST", "/chat/x", "body", "secret", ""));
            assertThat(response).endsWith("\r\n0\r\n\r\n");
        }
    }
}
