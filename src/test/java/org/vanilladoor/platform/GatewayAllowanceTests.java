package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.gateway.AllowanceControl;
import org.vanilladoor.route.AuthorizedTeam;

/** Requests of a team with an allowance: what is charged, refused and given back. */
@Timeout(60)
class GatewayAllowanceTests extends GatewayFixture {
    private static final Allowance ALLOWANCE = new Allowance(AllowanceUnit.TOKENS, 100, 100, 30);
    private final Charges mCharges = new Charges();

    GatewayAllowanceTests() {
        mAllowances = mCharges;
    }

    @BeforeEach
    void setAllowance() {
        mState.applyIfNewer(
                configuration(
                        2,
                        new AuthorizedTeam("team", OptionalInt.empty(), Optional.of(ALLOWANCE))));
    }

    @Test
    void aRequestOverTheAllowanceGets429AndReachesNoEndpoint() throws IOException {
        ScriptedEndpoint endpoint = servingEndpoint();
        mCharges.mDecision = Decision.REFUSE;
        String response = call("POST", "/safe/x", "body");
        assertThat(response).startsWith("HTTP/1.1 429");
        assertThat(response).contains("Retry-After: 1.500");
        assertThat(endpoint.received()).isEmpty();
        assertThat(mCharges.mCredits).isEmpty();
        assertThat(mStartedTeams).isEmpty();
    }

    @Test
    void theCostIsTheSumOfBothTokenCountsOrThatOfAPlainRequest() throws IOException {
        servingEndpoint();
        send("POST", "/safe/x", "body", "secret", "Vanilladoor-Token-Count: 120,41\r\n");
        send("POST", "/safe/x", "body", "secret", "");
        assertThat(mCharges.mCosts).containsExactly(161.0, 30.0).inOrder();
        assertThat(mCharges.mCredits).isEmpty();
    }

    /** Otherwise a request could add to the allowance of its team. */
    @Test
    void negativeTokenCountsCostNothing() throws IOException {
        servingEndpoint();
        send("POST", "/safe/x", "body", "secret", "Vanilladoor-Token-Count: -900,-5\r\n");
        send("POST", "/safe/x", "body", "secret", "Vanilladoor-Token-Count: 1e300,1e300\r\n");
        assertThat(mCharges.mCosts.get(0)).isEqualTo(0.0);
        assertThat(mCharges.mCosts.get(1)).isAtLeast(9e18);
    }

    @Test
    void anOpenRouteIsNotCharged() throws IOException {
        servingEndpoint();
        assertThat(call("POST", "/open/x", "body")).startsWith("HTTP/1.1 200");
        assertThat(mCharges.mCosts).isEmpty();
    }

    @Test
    void aRequestThatNoEndpointHasRunGivesItsCostBack() throws IOException {
        endpoint("full", received -> ScriptedEndpoint.refusal(received, 503));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 503");
        assertThat(mCharges.mCredits).containsExactly(30.0);
    }

    @Test
    void aRequestWhoseOutcomeIsUnknownKeepsItsCost() throws IOException {
        endpoint(
                "broken",
                received ->
                        new ScriptedEndpoint.Answer(
                                "HTTP/1.1 200 OK\r\nContent-", ScriptedEndpoint.End.CLOSE));
        assertThat(call("POST", "/once/x", "body")).startsWith("HTTP/1.1 502");
        assertThat(mCharges.mCosts).containsExactly(30.0);
        assertThat(mCharges.mCredits).isEmpty();
    }

    @Test
    void aWaitingRequestIsServedOnceItIsAdmitted() throws Exception {
        servingEndpoint();
        mCharges.mDecision = Decision.WAIT;
        CompletableFuture<String> response =
                CompletableFuture.supplyAsync(() -> sendUnchecked("/safe/x", ""));
        waitUntil(() -> mCharges.mWaiting.size() == 1);
        mControl.execute(() -> mCharges.mWaiting.remove(0).onAdmitted());
        assertThat(response.get()).startsWith("HTTP/1.1 200");
    }

    /** A request must not run for a caller who has left. */
    @Test
    void theWaitOfACallerWhoDisconnectsEnds() throws Exception {
        ScriptedEndpoint endpoint = servingEndpoint();
        mCharges.mDecision = Decision.WAIT;
        try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
            socket.getOutputStream().write(request("POST", "/safe/x", "body", "secret", ""));
            waitUntil(() -> mCharges.mWaiting.size() == 1);
        }
        waitUntil(() -> mCharges.mCancelled == 1);
        waitUntil(() -> mControl.submit(mGateway::openRequests).join() == 0);
        assertThat(endpoint.received()).isEmpty();
        assertThat(mCharges.mCredits).isEmpty();
    }

    @Test
    void aStoppingProcessRefusesTheRequestsThatWait() throws Exception {
        servingEndpoint();
        mCharges.mDecision = Decision.WAIT;
        CompletableFuture<String> response =
                CompletableFuture.supplyAsync(() -> sendUnchecked("/safe/x", ""));
        waitUntil(() -> mCharges.mWaiting.size() == 1);
        mControl.execute(mGateway::endOpenRequests);
        assertThat(response.get()).startsWith("HTTP/1.1 503");
        waitUntil(() -> mCharges.mCancelled == 1);
    }

    private ScriptedEndpoint servingEndpoint() throws IOException {
        return endpoint(
                "serving", received -> ScriptedEndpoint.response(received, 200, "", "done"));
    }

    /** What is decided on each request. */
    private enum Decision {
        ADMIT,
        REFUSE,
        WAIT
    }

    /** Decides as the test says and records what is charged. */
    private static final class Charges implements AllowanceControl {
        private final List<Double> mCosts = new CopyOnWriteArrayList<>();
        private final List<Double> mCredits = new CopyOnWriteArrayList<>();
        private final List<Outcome> mWaiting = new CopyOnWriteArrayList<>();
        private volatile Decision mDecision = Decision.ADMIT;
        private volatile int mCancelled;

        @Override
        public Wait admit(String team, Allowance allowance, double cost, Outcome outcome) {
            switch (mDecision) {
                case ADMIT -> {
                    mCosts.add(cost);
                    outcome.onAdmitted();
                }
                case REFUSE -> outcome.onRefused(1_500, "used up");
                case WAIT -> {
                    mWaiting.add(outcome);
                    return () -> mCancelled++;
                }
            }
            return Wait.NONE;
        }

        @Override
        public void credit(String team, double cost, long admittedMillis) {
            mCredits.add(cost);
        }
    }
}
