package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * Guards against refusing a customer whose part of a prompt may be held back for the crashes of
 * another one, and against sending it to engines without a trial.
 */
@Timeout(60)
class PromptInDoubtTests extends GatewayFixture {
    private static final String CUSTOMERS = "c0";
    private static final String CRASHING = "dead";
    private static final long CLAIM_MILLIS = 200;
    private volatile CompletableFuture<Boolean> mClaim = new CompletableFuture<>();

    PromptInDoubtTests() {
        mReports =
                new UnpublishedReports() {
                    @Override
                    public CompletableFuture<Boolean> claimTrial(
                            Collection<String> parts, String trial, BooleanSupplier isStillDue) {
                        return mClaim;
                    }
                };
    }

    @BeforeEach
    void crashEngines() {
        long longAgoMillis = MonotonicClock.nowMillis() - 10_000;
        mControl.submit(
                        () -> {
                            for (String engine : List.of("e1", "e2", "e3")) {
                                mQuarantine.recordCrash(
                                        engine, List.of(CUSTOMERS, CRASHING), longAgoMillis);
                            }
                            return null;
                        })
                .join();
    }

    @Test
    void aRequestInDoubtIsServedOnceItsTrialIsClaimed() throws IOException {
        ScriptedEndpoint endpoint = endpoint("e", PromptInDoubtTests::stream);
        mClaim =
                new CompletableFuture<Boolean>()
                        .completeOnTimeout(true, CLAIM_MILLIS, TimeUnit.MILLISECONDS);
        long startMillis = MonotonicClock.nowMillis();
        assertThat(send(CUSTOMERS)).startsWith("HTTP/1.1 200");
        assertThat(MonotonicClock.nowMillis() - startMillis).isAtLeast(CLAIM_MILLIS);
        mClaim = new CompletableFuture<>();
        assertThat(send(CUSTOMERS)).startsWith("HTTP/1.1 200");
        assertThat(send(CRASHING)).startsWith("HTTP/1.1 503");
        assertThat(endpoint.received()).hasSize(2);
    }

    @Test
    void aRequestInDoubtIsRefusedWithoutACallIfNoTrialIsClaimedInTime() throws IOException {
        ScriptedEndpoint endpoint = endpoint("e", PromptInDoubtTests::stream);
        String response = send(CUSTOMERS);
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: 1.0");
        assertThat(endpoint.received()).isEmpty();
    }

    @Test
    void aRequestWithAllSuspectedPartsIsRefusedAtOnce() throws IOException {
        mClaim = CompletableFuture.completedFuture(true);
        ScriptedEndpoint endpoint = endpoint("e", PromptInDoubtTests::stream);
        String response = send(CUSTOMERS + ":10," + CRASHING);
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: 60.0");
        assertThat(endpoint.received()).isEmpty();
    }

    @Test
    void aTrialThatAnEngineRejectsIsSentToAnotherOne() throws IOException {
        mClaim = CompletableFuture.completedFuture(true);
        ScriptedEndpoint full = endpoint("e1", received -> ScriptedEndpoint.refusal(received, 503));
        ScriptedEndpoint free = endpoint("e2", PromptInDoubtTests::stream);
        for (int request = 0; full.received().isEmpty() && request < 50; request++) {
            assertThat(send(CUSTOMERS)).startsWith("HTTP/1.1 200");
        }
        assertThat(free.received()).isNotEmpty();
    }

    @Test
    void aCallerThatLeavesWhileItsRequestIsInDoubtLeavesNothingBehind() throws IOException {
        endpoint("e", PromptInDoubtTests::stream);
        try (Socket caller = new Socket("127.0.0.1", mServer.address().port())) {
            caller.getOutputStream().write(request("POST", "/chat/x", "b", "secret", prompt("c0")));
            waitUntil(() -> openRequests() == 1);
        }
        waitUntil(() -> openRequests() == 0 && mServer.openExchanges() == 0);
    }

    private int openRequests() {
        return mControl.submit(mGateway::openRequests).join();
    }

    private String send(String part) throws IOException {
        return send("POST", "/chat/x", "body", "secret", prompt(part));
    }

    private static String prompt(String part) {
        return "Vanilladoor-Model: m\r\nVanilladoor-Token-Count: 20,5\r\n"
                + "Vanilladoor-Prompt-Prefix: "
                + part
                + ":10,own:10\r\n";
    }

    private static Answer stream(Received request) {
        return ScriptedEndpoint.streamResponse(request, End.KEEP, "id: 1\ndata: one\n\n");
    }
}
