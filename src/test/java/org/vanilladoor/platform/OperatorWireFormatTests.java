package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.fleet.LoadSample;
import org.vanilladoor.gateway.CallerRequest;
import org.vanilladoor.gateway.EndpointAnswer;
import org.vanilladoor.gateway.EndpointCall;
import org.vanilladoor.gateway.MalformedRequestException;
import org.vanilladoor.gateway.Prompt;
import org.vanilladoor.gateway.PromptMemory;
import org.vanilladoor.gateway.Refusal;

/** What goes to endpoints and callers, and what comes from them. */
class OperatorWireFormatTests {
    private final OperatorWireFormat mWire = new OperatorWireFormat();
    private final Endpoint mEndpoint =
            Endpoints.at("i-1", "a", EngineRole.DECODE, new HostPort("10.1.2.3", 8080));

    @Test
    void aRequestIsReadWhole() throws MalformedRequestException {
        CallerRequest request = mWire.read(request(), new byte[] {1});
        assertThat(request.identifier()).isEqualTo("abc");
        assertThat(request.host()).isEqualTo("shop.example");
        assertThat(request.target()).isEqualTo("/a/b?c=1");
        assertThat(request.path()).isEqualTo("/a/b");
        assertThat(request.patienceMillis()).isEqualTo(2005);
        assertThat(request.key()).isEqualTo("secret");
        Prompt prompt = request.prompt().orElseThrow();
        assertThat(prompt.promptTokens()).isEqualTo(1460);
        assertThat(prompt.outputTokens()).isEqualTo(80);
        assertThat(prompt.sharedTokens()).isEqualTo(1210);
        assertThat(prompt.affinity()).isEqualTo("m/91bd");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Vanilladoor-Kv-From",
                "vanilladoor-stage",
                "Vanilladoor-Tenant",
                "Vanilladoor-Hold",
                "Vanilladoor-Pin-Ms",
                "Vanilladoor-Kv-Backup",
                "Vanilladoor-Request-Urgency",
                "Vanilladoor-Expect-Instance",
                "Kv-Fetch",
                "Transfer-Encoding",
                "Connection"
            })
    void whatIsOursToSetIsNeverTakenFromACaller(String name) throws MalformedRequestException {
        HttpRequest sent = request();
        sent.addHeader(name, "forged");
        HttpRequest call = mWire.call(mWire.read(sent, new byte[0]), run(Optional.empty()));
        assertThat(values(call)).doesNotContain("forged");
    }

    @Test
    void aKeyNeverGoesOnAndTheTeamDoes() throws MalformedRequestException {
        CallerRequest request = mWire.read(request(), new byte[0]);
        HttpRequest call = mWire.call(request, run(Optional.empty()));
        assertThat(values(call)).doesNotContain("secret");
        assertThat(call.getFirstHeader(Headers.TEAM).getValue()).isEqualTo("bakers");
        assertThat(call.getFirstHeader(Headers.ATTEMPT).getValue()).isEqualTo("abc");
        assertThat(call.getFirstHeader(Headers.EXPECTED_ENDPOINT).getValue()).isEqualTo("i-1");
        assertThat(call.getFirstHeader(Headers.PATIENCE).getValue()).isEqualTo("1500");
        assertThat(call.getFirstHeader(Headers.TOKENS).getValue()).isEqualTo("1460,80");
        assertThat(call.getFirstHeader("X-Own").getValue()).isEqualTo("kept");
        assertThat(call.getRequestUri()).isEqualTo("/a/b?c=1");
    }

    @Test
    void memoryIsFetchedFromWhereThePromptWasRead() throws MalformedRequestException {
        PromptMemory memory = new PromptMemory(mEndpoint, "h1");
        HttpRequest call = mWire.call(mWire.read(request(), new byte[0]), run(Optional.of(memory)));
        assertThat(call.getFirstHeader(Headers.MEMORY_SOURCE).getValue())
                .isEqualTo("10.1.2.3:8080/h1");
    }

    @Test
    void aLengthThatIsStatedTwiceIsRefused() {
        HttpRequest smuggled = request();
        smuggled.addHeader("Content-Length", "5");
        smuggled.addHeader("Transfer-Encoding", "chunked");
        assertThrows(MalformedRequestException.class, () -> mWire.read(smuggled, new byte[0]));
        HttpRequest twice = request();
        twice.addHeader("Content-Length", "5");
        twice.addHeader("Content-Length", "6");
        assertThrows(MalformedRequestException.class, () -> mWire.read(twice, new byte[0]));
    }

    @Test
    void aNulInAHeaderAndTwoKeysAreRefused() {
        HttpRequest nul = request();
        nul.addHeader("X-Own", "a\0b");
        assertThrows(MalformedRequestException.class, () -> mWire.read(nul, new byte[0]));
        HttpRequest keys = request();
        keys.addHeader(Headers.KEY, "other");
        assertThrows(MalformedRequestException.class, () -> mWire.read(keys, new byte[0]));
    }

    @Test
    void aRequestWithoutIdentifierIsRefused() {
        HttpRequest request = new BasicHttpRequest("GET", "/a/b");
        request.addHeader("Host", "shop.example");
        assertThrows(MalformedRequestException.class, () -> mWire.read(request, new byte[0]));
    }

    @Test
    void onlyARefusalThatHasNotRunSaysWhenToComeBack() {
        assertThat(header(mWire.refusal(Refusal.OVERLOADED, 250), "Retry-After"))
                .isEqualTo("0.250");
        assertThat(mWire.refusal(Refusal.OUTCOME_UNKNOWN, 250).containsHeader("Retry-After"))
                .isFalse();
        assertThat(mWire.refusal(Refusal.OUTCOME_UNKNOWN, 250).getCode()).isEqualTo(502);
    }

    @Test
    void anAnswerKeepsItsProofAndLosesWhatIsMeantForUs() {
        HttpResponse head = new BasicHttpResponse(200);
        head.addHeader(Headers.ATTEMPT, "abc");
        head.addHeader(Headers.SIGNATURE, "proof");
        head.addHeader(Headers.LOAD, "3,1,8");
        head.addHeader("Connection", "close");
        EndpointAnswer answer = mWire.read(head);
        assertThat(answer.signed()).isTrue();
        assertThat(answer.notRun()).isFalse();
        assertThat(answer.load()).isEqualTo(Optional.of(new LoadSample(3, 1, 8)));
        HttpResponse passed = mWire.answer(head);
        assertThat(header(passed, Headers.SIGNATURE)).isEqualTo("proof");
        assertThat(passed.containsHeader(Headers.LOAD)).isFalse();
        assertThat(passed.containsHeader("Connection")).isFalse();
    }

    @Test
    void anAnswerOfAnotherEndpointHasNotRunAndAGarbledLoadIsNone() {
        HttpResponse head = new BasicHttpResponse(421);
        head.addHeader(Headers.LOAD, "many");
        assertThat(mWire.read(head).notRun()).isTrue();
        assertThat(mWire.read(head).load()).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "not json", "{\"kv_handle\":7}", "{\"kv_handle\":\"\"}"})
    void anAnswerWithoutAHandleIsSaidToHaveNone(String body) {
        assertThrows(IllegalArgumentException.class, () -> mWire.handle(body.getBytes()));
    }

    private EndpointCall run(Optional<PromptMemory> memory) {
        return new EndpointCall(
                mEndpoint,
                EndpointCall.Stage.RUN,
                1500,
                Optional.of("bakers"),
                1,
                memory,
                Optional.empty());
    }

    private static HttpRequest request() {
        HttpRequest request = new BasicHttpRequest("POST", "/a/b?c=1");
        request.addHeader("Host", "shop.example");
        request.addHeader(Headers.ATTEMPT, "abc");
        request.addHeader(Headers.PATIENCE, "2005");
        request.addHeader(Headers.KEY, "secret");
        request.addHeader(Headers.MODEL, "m");
        request.addHeader(Headers.TOKENS, "1460,80");
        request.addHeader(Headers.PARTS, "5c1e:800,91bd:410,e440:250");
        request.addHeader("X-Own", "kept");
        return request;
    }

    private static String header(HttpResponse response, String name) {
        return response.getFirstHeader(name).getValue();
    }

    private static List<String> values(HttpRequest request) {
        return Arrays.stream(request.getHeaders()).map(Header::getValue).toList();
    }
}
