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
import org.vanilladoor.gateway.EndpointCall;
import org.vanilladoor.gateway.EndpointResponse;
import org.vanilladoor.gateway.KvCacheReference;
import org.vanilladoor.gateway.MalformedRequestException;
import org.vanilladoor.gateway.PromptMetadata;
import org.vanilladoor.gateway.Refusal;

/** What goes to endpoints and callers, and what comes from them. */
class OperatorWireFormatTests {
    private final OperatorWireFormat mWire = new OperatorWireFormat();
    private final Endpoint mEndpoint =
            Endpoints.at("i-1", "a", EngineRole.DECODE, new HostPort("10.1.2.3", 8080));

    @Test
    void aRequestIsReadWhole() throws MalformedRequestException {
        CallerRequest request = mWire.decodeRequest(request(), new byte[] {1});
        assertThat(request.identifier()).isEqualTo("abc");
        assertThat(request.host()).isEqualTo("shop.example");
        assertThat(request.target()).isEqualTo("/a/b?c=1");
        assertThat(request.path()).isEqualTo("/a/b");
        assertThat(request.callerTimeoutMillis()).isEqualTo(2005);
        assertThat(request.key()).isEqualTo("secret");
        PromptMetadata prompt = request.prompt().orElseThrow();
        assertThat(prompt.promptTokens()).isEqualTo(1460);
        assertThat(prompt.maximumOutputTokens()).isEqualTo(80);
        assertThat(prompt.sharedPrefixTokens()).isEqualTo(1210);
        assertThat(prompt.affinityKey()).isEqualTo("m/91bd");
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
        HttpRequest call =
                mWire.encodeCall(mWire.decodeRequest(sent, new byte[0]), run(Optional.empty()));
        assertThat(values(call)).doesNotContain("forged");
    }

    @Test
    void aKeyNeverGoesOnAndTheTeamDoes() throws MalformedRequestException {
        CallerRequest request = mWire.decodeRequest(request(), new byte[0]);
        HttpRequest call = mWire.encodeCall(request, run(Optional.empty()));
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
        KvCacheReference memory = new KvCacheReference(mEndpoint, "h1");
        HttpRequest call =
                mWire.encodeCall(
                        mWire.decodeRequest(request(), new byte[0]), run(Optional.of(memory)));
        assertThat(call.getFirstHeader(Headers.MEMORY_SOURCE).getValue())
                .isEqualTo("10.1.2.3:8080/h1");
    }

    @Test
    void aLengthThatIsStatedTwiceIsRefused() {
        HttpRequest smuggled = request();
        smuggled.addHeader("Content-Length", "5");
        smuggled.addHeader("Transfer-Encoding", "chunked");
        assertThrows(
                MalformedRequestException.class, () -> mWire.decodeRequest(smuggled, new byte[0]));
        HttpRequest twice = request();
        twice.addHeader("Content-Length", "5");
        twice.addHeader("Content-Length", "6");
        assertThrows(
                MalformedRequestException.class, () -> mWire.decodeRequest(twice, new byte[0]));
    }

    @Test
    void aNulInAHeaderAndTwoKeysAreRefused() {
        HttpRequest nul = request();
        nul.addHeader("X-Own", "a\0b");
        assertThrows(MalformedRequestException.class, () -> mWire.decodeRequest(nul, new byte[0]));
        HttpRequest keys = request();
        keys.addHeader(Headers.KEY, "other");
        assertThrows(MalformedRequestException.class, () -> mWire.decodeRequest(keys, new byte[0]));
    }

    @Test
    void aRequestWithoutIdentifierIsRefused() {
        HttpRequest request = new BasicHttpRequest("GET", "/a/b");
        request.addHeader("Host", "shop.example");
        assertThrows(
                MalformedRequestException.class, () -> mWire.decodeRequest(request, new byte[0]));
    }

    @Test
    void onlyARefusalThatHasNotRunSaysWhenToComeBack() {
        assertThat(header(mWire.encodeRefusal(Refusal.OVERLOADED, 250), "Retry-After"))
                .isEqualTo("0.250");
        assertThat(mWire.encodeRefusal(Refusal.OUTCOME_UNKNOWN, 250).containsHeader("Retry-After"))
                .isFalse();
        assertThat(mWire.encodeRefusal(Refusal.OUTCOME_UNKNOWN, 250).getCode()).isEqualTo(502);
    }

    @Test
    void anAnswerKeepsItsProofAndLosesWhatIsMeantForUs() {
        HttpResponse head = new BasicHttpResponse(200);
        head.addHeader(Headers.ATTEMPT, "abc");
        head.addHeader(Headers.SIGNATURE, "proof");
        head.addHeader(Headers.LOAD, "3,1,8");
        head.addHeader("Connection", "close");
        EndpointResponse answer = mWire.decodeResponseHead(head);
        assertThat(answer.isSigned()).isTrue();
        assertThat(answer.isNotRun()).isFalse();
        assertThat(answer.load()).isEqualTo(Optional.of(new LoadSample(3, 1, 8)));
        HttpResponse passed = mWire.toCallerResponse(head);
        assertThat(header(passed, Headers.SIGNATURE)).isEqualTo("proof");
        assertThat(passed.containsHeader(Headers.LOAD)).isFalse();
        assertThat(passed.containsHeader("Connection")).isFalse();
    }

    @Test
    void anAnswerOfAnotherEndpointHasNotRunAndAGarbledLoadIsNone() {
        HttpResponse head = new BasicHttpResponse(421);
        head.addHeader(Headers.LOAD, "many");
        assertThat(mWire.decodeResponseHead(head).isNotRun()).isTrue();
        assertThat(mWire.decodeResponseHead(head).load()).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "not json", "{\"kv_handle\":7}", "{\"kv_handle\":\"\"}"})
    void anAnswerWithoutAHandleIsSaidToHaveNone(String body) {
        assertThrows(
                IllegalArgumentException.class, () -> mWire.decodeKvCacheHandle(body.getBytes()));
    }

    private EndpointCall run(Optional<KvCacheReference> memory) {
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
