package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.gateway.ServiceLoadSink.Counter;
import org.vanilladoor.gateway.ServiceLoadSink.Gauge;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/**
 * What requests report as load. Requests that had got nothing from their engine once counted as
 * load of decode, and took engines from prompts that waited.
 */
@Timeout(30)
class EndpointLoadTests extends GatewayFixture {
    private static final String PROMPT = "Vanilladoor-Token-Count: 9000,72\r\n";
    private static final String EVENT = "id: 1\ndata: one\n\n";

    @Test
    void aRequestWithoutAFirstEventCountsAsAwaitingIt() throws Exception {
        prefillEngine();
        endpoint("decode-engine", request -> new Answer("", End.HANG));
        CompletableFuture.runAsync(() -> sendUnchecked("/chat/x", PROMPT));
        waitUntil(() -> mLoad.sum(Gauge.AWAITING_FIRST_EVENT) == 1);
        assertThat(mLoad.sum(Gauge.RUNNING)).isEqualTo(1);
        assertThat(mLoad.sum(Gauge.OUTPUT_TOKENS)).isEqualTo(72);
        assertThat(mLoad.sum(Counter.ARRIVED_PROMPTS)).isEqualTo(1);
        assertThat(mLoad.sum(Counter.PREFILLED_PROMPTS)).isEqualTo(1);
        waitUntil(() -> mLoad.sum(Gauge.RUNNING) == 0);
        assertThat(mLoad.sum(Gauge.AWAITING_FIRST_EVENT)).isEqualTo(0);
        assertThat(mLoad.sum(Gauge.OUTPUT_TOKENS)).isEqualTo(0);
        assertThat(mLoad.sum(Counter.GENERATED_TOKENS)).isEqualTo(0);
    }

    @Test
    void aRequestThatHasGotAnEventCountsAsGenerating() throws Exception {
        prefillEngine();
        endpoint(
                "decode-engine",
                request -> ScriptedEndpoint.streamResponse(request, End.HANG, EVENT));
        CompletableFuture.runAsync(() -> sendUnchecked("/chat/x", PROMPT));
        waitUntil(() -> mStartedTeams.size() == 1);
        waitUntil(() -> mLoad.sum(Gauge.AWAITING_FIRST_EVENT) == 0);
        assertThat(mLoad.sum(Counter.MISSED_PROMPTS)).isEqualTo(0);
        waitUntil(() -> mLoad.sum(Gauge.RUNNING) == 0);
        assertThat(mLoad.sum(Counter.GENERATED_TOKENS)).isEqualTo(72);
    }

    @Test
    void aResponseThatIsASingleMessageCountsAsGeneratingAllTheTime() throws Exception {
        ScriptedEndpoint engine = endpoint("decode-engine", request -> new Answer("", End.HANG));
        CompletableFuture.runAsync(() -> sendUnchecked("/safe/x", ""));
        waitUntil(() -> engine.received().size() == 1);
        assertThat(mLoad.sum(Gauge.RUNNING)).isEqualTo(1);
        assertThat(mLoad.sum(Gauge.AWAITING_FIRST_EVENT)).isEqualTo(0);
    }
}
