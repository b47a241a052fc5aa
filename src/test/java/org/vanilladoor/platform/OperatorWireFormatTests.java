package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.fleet.LoadSample;
import org.vanilladoor.fleet.StatedLimit;
import org.vanilladoor.gateway.CallerRequest;
import org.vanilladoor.gateway.EndpointCall;
import org.vanilladoor.gateway.EndpointResponse;
import org.vanilladoor.gateway.KvCacheReference;
import org.vanilladoor.gateway.MalformedRequestException;
import org.vanilladoor.gateway.PromptMetadata;
import org.vanilladoor.gateway.Refusal;

/** Encoding and decoding of the messages of callers and endpoints. */
class OperatorWireFormatTests {
    private final OperatorWireFormat mWireFormat = new OperatorWireFormat();
    private final Endpoint mEndpoint =
            Endpoints.at("i-1", "a", EngineRole.DECODE, new HostPort("10.1.2.3", 8080));

    @Test
    void aRequestIsDecodedWithAllItsFields() throws MalformedRequestException {
        CallerRequest request = mWireFormat.decodeRequest(request(), new byte[] {1});
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

    /** As strings of their own, they would take twenty times as much. */
    @Test
    void thePartsOfAPromptTakeNoMoreThanTwiceTheHeadThatHasThem() throws Exception {
        int requests = 300;
        String parts = "1:1,".repeat(3_700) + "2:1";
        HttpRequest request = new BasicHttpRequest("POST", "/a/");
        request.addHeader("Host", "h");
        request.addHeader(Headers.ATTEMPT_IDENTIFIER, "abc");
        request.addHeader(Headers.TOKEN_COUNTS, "3701,2");
        request.addHeader(Headers.PROMPT_PARTS, parts);
        List<CallerRequest> decoded = new ArrayList<>();
        long bytesBefore = usedBytes();
        for (int number = 0; number < requests; number++) {
            decoded.add(mWireFormat.decodeRequest(request, new byte[0]));
        }
        long bytesPerRequest = (usedBytes() - bytesBefore) / requests;
        assertThat(bytesPerRequest).isLessThan(2L * parts.length());
        assertThat(decoded.get(0).sharedPromptParts()).hasSize(3_700);
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Test
    void aPartWithALongIdentifierIsKnownByAShortOne() throws MalformedRequestException {
        HttpRequest request = request();
        request.setHeader(Headers.PROMPT_PARTS, "ABC:1," + "f".repeat(10_000) + ":1,last:1");
        List<String> parts = mWireFormat.decodeRequest(request, new byte[0]).sharedPromptParts();
        assertThat(parts).hasSize(2);
        assertThat(parts.get(0)).isEqualTo("abc");
        assertThat(parts.get(1).length()).isAtMost(64);
        request.setHeader(Headers.PROMPT_PARTS, "f".repeat(9_999) + ":1,last:1");
        assertThat(mWireFormat.decodeRequest(request, new byte[0]).sharedPromptParts())
                .doesNotContain(parts.get(1));
    }

    @Test
    void aLengthHintIsDecodedAndForwarded() throws MalformedRequestException {
        HttpRequest hinted = request();
        hinted.addHeader(Headers.LENGTH_HINT, "55");
        CallerRequest request = mWireFormat.decodeRequest(hinted, new byte[0]);
        assertThat(request.prompt().orElseThrow().lengthHint()).isEqualTo(OptionalDouble.of(55));
        assertThat(values(mWireFormat.encodeCall(request, runCall(Optional.empty()))))
                .contains("55");
    }

    /** Guards against a rejected request because of a figure that only improves an estimate. */
    @ParameterizedTest
    @ValueSource(strings = {"", "many", "5,6"})
    void aLengthHintThatIsNoNumberIsIgnored(String hint) throws MalformedRequestException {
        HttpRequest hinted = request();
        hinted.addHeader(Headers.LENGTH_HINT, hint);
        CallerRequest request = mWireFormat.decodeRequest(hinted, new byte[0]);
        assertThat(request.prompt().orElseThrow().lengthHint()).isEqualTo(OptionalDouble.empty());
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
    void reservedHeadersAreNeverCopiedFromACaller(String name) throws MalformedRequestException {
        HttpRequest forgedRequest = request();
        forgedRequest.addHeader(name, "forged");
        HttpRequest call =
                mWireFormat.encodeCall(
                        mWireFormat.decodeRequest(forgedRequest, new byte[0]),
                        runCall(Optional.empty()));
        assertThat(values(call)).doesNotContain("forged");
    }

    @Test
    void theTeamIsForwardedAndItsKeyIsNot() throws MalformedRequestException {
        CallerRequest request = mWireFormat.decodeRequest(request(), new byte[0]);
        HttpRequest call = mWireFormat.encodeCall(request, runCall(Optional.empty()));
        assertThat(values(call)).doesNotContain("secret");
        assertThat(call.getFirstHeader(Headers.TEAM).getValue()).isEqualTo("bakers");
        assertThat(call.getFirstHeader(Headers.ATTEMPT_IDENTIFIER).getValue()).isEqualTo("abc");
        assertThat(call.getFirstHeader(Headers.EXPECTED_ENDPOINT).getValue()).isEqualTo("i-1");
        assertThat(call.getFirstHeader(Headers.CALLER_TIMEOUT).getValue()).isEqualTo("1500");
        assertThat(call.getFirstHeader(Headers.TOKEN_COUNTS).getValue()).isEqualTo("1460,80");
        assertThat(call.getFirstHeader("X-Own").getValue()).isEqualTo("kept");
        assertThat(call.getRequestUri()).isEqualTo("/a/b?c=1");
    }

    @Test
    void aCallNamesTheEndpointAndHandleOfTheKvCacheToFetch() throws MalformedRequestException {
        KvCacheReference kvCache = new KvCacheReference(mEndpoint, "h1");
        HttpRequest call =
                mWireFormat.encodeCall(
                        mWireFormat.decodeRequest(request(), new byte[0]),
                        runCall(Optional.of(kvCache)));
        assertThat(call.getFirstHeader(Headers.KV_CACHE_SOURCE).getValue())
                .isEqualTo("10.1.2.3:8080/h1");
    }

    @Test
    void aRepeatedKeyIsRejected() {
        HttpRequest requestWithTwoKeys = request();
        requestWithTwoKeys.addHeader(Headers.API_KEY, "other");
        assertThrows(
                MalformedRequestException.class,
                () -> mWireFormat.decodeRequest(requestWithTwoKeys, new byte[0]));
    }

    @Test
    void aRequestWithoutIdentifierIsRejected() {
        HttpRequest request = new BasicHttpRequest("GET", "/a/b");
        request.addHeader("Host", "shop.example");
        assertThrows(
                MalformedRequestException.class,
                () -> mWireFormat.decodeRequest(request, new byte[0]));
    }

    @Test
    void onlyARefusalOfARequestThatHasNotRunHasRetryAfter() {
        assertThat(header(mWireFormat.encodeRefusal(Refusal.OVERLOADED, 250), "Retry-After"))
                .isEqualTo("0.250");
        assertThat(
                        mWireFormat
                                .encodeRefusal(Refusal.OUTCOME_UNKNOWN, 250)
                                .containsHeader("Retry-After"))
                .isFalse();
        assertThat(mWireFormat.encodeRefusal(Refusal.OUTCOME_UNKNOWN, 250).getCode())
                .isEqualTo(502);
    }

    @Test
    void aForwardedResponseKeepsItsSignatureAndLosesInternalHeaders() {
        HttpResponse head = new BasicHttpResponse(200);
        head.addHeader(Headers.ATTEMPT_IDENTIFIER, "abc");
        head.addHeader(Headers.SIGNATURE, "proof");
        head.addHeader(Headers.LOAD, "3,1,8");
        head.addHeader("Connection", "close");
        EndpointResponse response = mWireFormat.decodeResponseHead(head);
        assertThat(response.isSigned()).isTrue();
        assertThat(response.isNotRun()).isFalse();
        assertThat(response.load()).isEqualTo(Optional.of(new LoadSample(3, 1, 8)));
        HttpResponse forwarded = mWireFormat.toCallerResponse(head);
        assertThat(header(forwarded, Headers.SIGNATURE)).isEqualTo("proof");
        assertThat(forwarded.containsHeader(Headers.LOAD)).isFalse();
        assertThat(forwarded.containsHeader("Connection")).isFalse();
    }

    /** Guards against the loss of all load figures once an endpoint states more than three. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "3,1,8,250|2.5",
                "3, 1, 8, 97.5|0.975",
                "3,1,8,100,7|1",
                "3,1,8,80,many,x|0.8"
            })
    void theFourthFigureOfALoadIsASlowdownAndFurtherOnesAreIgnored(String load, double slowdown) {
        assertThat(decodeLoad(load))
                .isEqualTo(Optional.of(new LoadSample(3, 1, 8, OptionalDouble.of(slowdown))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "3,1,8,",
                "3,1,8,slow",
                "3,1,8,0",
                "3,1,8,-100",
                "3,1,8,NaN",
                "3,1,8,Infinity",
                "3,1,8,,100"
            })
    void aSlowdownThatCantBeTrueLeavesTheOtherFiguresOfALoad(String load) {
        assertThat(decodeLoad(load)).isEqualTo(Optional.of(new LoadSample(3, 1, 8)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "3", "3,1", "3,1,x,100", "3.5,1,8,100", "many,1,8"})
    void aLoadWhoseFirstThreeFiguresCantBeReadIsIgnored(String load) {
        assertThat(decodeLoad(load)).isEqualTo(Optional.empty());
    }

    private Optional<LoadSample> decodeLoad(String load) {
        HttpResponse head = new BasicHttpResponse(200);
        head.addHeader(Headers.LOAD, load);
        return mWireFormat.decodeResponseHead(head).load();
    }

    @Test
    void theLowestOfSeveralLimitsCountsAndTheCallerSeesNone() {
        HttpResponse head = new BasicHttpResponse(200);
        assertThat(mWireFormat.decodeResponseHead(head).limit()).isEqualTo(StatedLimit.none());
        head.addHeader(Headers.REQUEST_LIMIT, "2.5");
        head.addHeader(Headers.REQUEST_LIMIT, "1.25");
        assertThat(mWireFormat.decodeResponseHead(head).limit()).isEqualTo(StatedLimit.of(1.25));
        assertThat(mWireFormat.toCallerResponse(head).containsHeader(Headers.REQUEST_LIMIT))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "many", "1,5", "NaN", "0x"})
    void aLimitThatIsNoNumberIsUnreadable(String value) {
        HttpResponse head = new BasicHttpResponse(200);
        head.addHeader(Headers.REQUEST_LIMIT, value);
        assertThat(mWireFormat.decodeResponseHead(head).limit())
                .isEqualTo(StatedLimit.unreadable());
    }

    @Test
    void aMisdirectedRequestHasNotRunAndAnInvalidLoadIsIgnored() {
        HttpResponse head = new BasicHttpResponse(421);
        head.addHeader(Headers.LOAD, "many");
        assertThat(mWireFormat.decodeResponseHead(head).isNotRun()).isTrue();
        assertThat(mWireFormat.decodeResponseHead(head).load()).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "not json", "{\"kv_handle\":7}", "{\"kv_handle\":\"\"}"})
    void aPrefillResponseWithoutHandleIsRejected(String body) {
        assertThrows(
                IllegalArgumentException.class,
                () -> mWireFormat.decodeKvCacheHandle(body.getBytes()));
    }

    private EndpointCall runCall(Optional<KvCacheReference> kvCache) {
        return new EndpointCall(
                mEndpoint,
                EndpointCall.Stage.RUN,
                1500,
                Optional.of("bakers"),
                1,
                kvCache,
                Optional.empty());
    }

    private static HttpRequest request() {
        HttpRequest request = new BasicHttpRequest("POST", "/a/b?c=1");
        request.addHeader("Host", "shop.example");
        request.addHeader(Headers.ATTEMPT_IDENTIFIER, "abc");
        request.addHeader(Headers.CALLER_TIMEOUT, "2005");
        request.addHeader(Headers.API_KEY, "secret");
        request.addHeader(Headers.MODEL, "m");
        request.addHeader(Headers.TOKEN_COUNTS, "1460,80");
        request.addHeader(Headers.PROMPT_PARTS, "5c1e:800,91bd:410,e440:250");
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
