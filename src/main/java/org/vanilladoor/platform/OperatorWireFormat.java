package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.vanilladoor.common.Json;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointNotice;
import org.vanilladoor.fleet.LoadSample;
import org.vanilladoor.fleet.StatedLimit;
import org.vanilladoor.gateway.CallerRequest;
import org.vanilladoor.gateway.EndpointCall;
import org.vanilladoor.gateway.EndpointResponse;
import org.vanilladoor.gateway.KvCacheReference;
import org.vanilladoor.gateway.MalformedRequestException;
import org.vanilladoor.gateway.PromptMetadata;
import org.vanilladoor.gateway.PromptParts;
import org.vanilladoor.gateway.Refusal;
import org.vanilladoor.gateway.WireFormat;

/**
 * Encodes and decodes callers' and endpoints' messages in the format of the operators' platform.
 *
 * <p>Invariants: headers that this system sets on a call to an endpoint are never copied from the
 * caller's request, and the caller's API key is never forwarded. Stateless and safe for use by any
 * thread.
 */
final class OperatorWireFormat implements WireFormat {
    /** Timeout of a caller that states none. */
    private static final long DEFAULT_CALLER_TIMEOUT_MILLIS = 30_000;

    /** Maximum of the timeout that a caller may state; longer ones are reduced to it. */
    private static final long MAXIMUM_CALLER_TIMEOUT_MILLIS = 600_000;

    /** Maximum of the time for which an endpoint may want no requests; longer ones are reduced. */
    private static final long MAXIMUM_PAUSE_MILLIS = 600_000;

    /** Number of fields in {@link Headers#TOKEN_COUNTS}. */
    private static final int TOKEN_COUNT_FIELDS = 2;

    /** Number of fields that each {@link Headers#LOAD} has; some endpoints add further ones. */
    private static final int LOAD_FIELDS = 3;

    /** Value of the slow-down in {@link Headers#LOAD} at which work takes its normal time. */
    private static final double NORMAL_SLOWDOWN = 100;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final char DELETE_CHARACTER = 127;

    /** Headers that apply to a single connection and are not forwarded. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** Headers of a caller's request that this system reads, replaces or sets itself. */
    private static final Set<String> RESERVED_HEADERS =
            Set.of(
                    "host",
                    "vanilladoor-attempt-id",
                    "vanilladoor-deadline-ms",
                    "vanilladoor-key",
                    "last-event-id",
                    "vanilladoor-expect-instance",
                    "vanilladoor-expect-version",
                    "vanilladoor-tenant",
                    "vanilladoor-stage",
                    "vanilladoor-kv-from",
                    "vanilladoor-kv-backup",
                    "vanilladoor-hold",
                    "vanilladoor-pin-ms",
                    "vanilladoor-request-urgency",
                    "vanilladoor-holder",
                    "vanilladoor-fence",
                    "kv-fetch");

    /** Start of the names of the platform's own headers, in lower case. */
    private static final String PLATFORM_HEADER_PREFIX = "vanilladoor-";

    /** Statuses of a response that may state that the request was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES =
            Set.of(
                    HttpStatus.SC_BAD_REQUEST,
                    HttpStatus.SC_MISDIRECTED_REQUEST,
                    HttpStatus.SC_TOO_MANY_REQUESTS,
                    HttpStatus.SC_SERVICE_UNAVAILABLE);

    /** Headers of an endpoint's response that are meant for this system, not for the caller. */
    private static final Set<String> INTERNAL_RESPONSE_HEADERS =
            Set.of(
                    "vanilladoor-load",
                    "vanilladoor-not-run",
                    "vanilladoor-instance",
                    "server-limit",
                    "server-leaving");

    @Override
    public CallerRequest decodeRequest(HttpRequest request, byte[] body)
            throws MalformedRequestException {
        String attemptIdentifier = singleHeader(request, Headers.ATTEMPT_IDENTIFIER).orElse("");
        if (!attemptIdentifier.chars().allMatch(OperatorWireFormat::isVisible)) {
            throw new MalformedRequestException(
                    "header " + Headers.ATTEMPT_IDENTIFIER + " contains other than visible ASCII");
        }
        if (attemptIdentifier.isEmpty()) {
            throw new MalformedRequestException(
                    "header " + Headers.ATTEMPT_IDENTIFIER + " is missing");
        }
        String host = singleHeader(request, HttpHeaders.HOST).orElse("");
        String target = request.getRequestUri();
        if (host.isEmpty() || !target.startsWith("/")) {
            throw new MalformedRequestException("Host header or path is missing: " + target);
        }
        Optional<String> timeout = singleHeader(request, Headers.CALLER_TIMEOUT);
        long timeoutMillis =
                timeout.isPresent() ? parseNumber(timeout.get()) : DEFAULT_CALLER_TIMEOUT_MILLIS;
        return new CallerRequest(
                attemptIdentifier,
                request.getMethod(),
                host,
                target,
                Math.max(1, Math.min(MAXIMUM_CALLER_TIMEOUT_MILLIS, timeoutMillis)),
                singleHeader(request, Headers.API_KEY).orElse(""),
                singleHeader(request, Headers.LAST_EVENT_IDENTIFIER),
                decodeResumedStream(request),
                decodePrompt(request),
                headersToForward(request),
                body);
    }

    @Override
    public HttpResponse encodeRefusal(Refusal refusal, long retryAfterMillis) {
        HttpResponse response = new BasicHttpResponse(refusal.status());
        if (refusal.isRetryable()) {
            String seconds =
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
            response.addHeader(Headers.RETRY_AFTER, seconds);
        }
        return response;
    }

    @Override
    public HttpResponse toCallerResponse(HttpResponse endpointHead) {
        HttpResponse response = new BasicHttpResponse(endpointHead.getCode());
        copyHeaders(endpointHead, response, INTERNAL_RESPONSE_HEADERS);
        return response;
    }

    @Override
    public HttpRequest encodeCall(CallerRequest request, EndpointCall call) {
        HttpRequest message = new BasicHttpRequest(request.method(), request.target());
        message.addHeader(HttpHeaders.HOST, request.host());
        message.addHeader(Headers.ATTEMPT_IDENTIFIER, request.identifier());
        message.addHeader(Headers.CALLER_TIMEOUT, call.remainingMillis());
        message.addHeader(Headers.EXPECTED_ENDPOINT, call.endpoint().name());
        call.team().ifPresent(team -> message.addHeader(Headers.TEAM, team));
        call.lastEventIdentifier()
                .ifPresent(last -> message.addHeader(Headers.LAST_EVENT_IDENTIFIER, last));
        if (request.prompt().isPresent()) {
            message.addHeader(Headers.URGENCY, call.urgency());
        }
        if (call.stage() == EndpointCall.Stage.READ_PROMPT) {
            message.addHeader(Headers.STAGE, "prefill");
        }
        call.kvCacheSource()
                .ifPresent(
                        kvCache ->
                                message.addHeader(
                                        Headers.KV_CACHE_SOURCE,
                                        kvCache.endpoint().address() + "/" + kvCache.handle()));
        request.headers().forEach(message::addHeader);
        return message;
    }

    @Override
    public EndpointResponse decodeResponseHead(HttpResponse head) {
        boolean notRun =
                head.containsHeader(Headers.NOT_RUN)
                        || head.getCode() == HttpStatus.SC_MISDIRECTED_REQUEST;
        return new EndpointResponse(
                head.getCode(),
                notRun,
                head.containsHeader(Headers.SIGNATURE),
                headerText(head, Headers.ATTEMPT_IDENTIFIER),
                decodeLoad(headerText(head, Headers.LOAD)),
                decodeLimit(head),
                decodeNotice(head),
                findContradiction(head, notRun));
    }

    /**
     * Returns what can't be true of any single response, as in a head that consists of parts of two
     * responses.
     */
    private static Optional<String> findContradiction(HttpResponse head, boolean notRun) {
        Set<String> names = new HashSet<>();
        for (Header header : head.getHeaders()) {
            String name = lowerCaseName(header);
            if (name.startsWith(PLATFORM_HEADER_PREFIX) && !names.add(name)) {
                return Optional.of("header " + header.getName() + " is repeated");
            }
        }
        if (notRun && head.containsHeader(Headers.SIGNATURE)) {
            return Optional.of("a signed response states that the request was not run");
        }
        if (notRun && !NOT_RUN_STATUSES.contains(head.getCode())) {
            return Optional.of(
                    "a response with status "
                            + head.getCode()
                            + " states that the request was not run");
        }
        return Optional.empty();
    }

    @Override
    public String decodeKvCacheHandle(byte[] body) {
        JsonNode handle;
        try {
            handle = Json.read(body, JsonNode.class).path("kv_handle");
        } catch (java.io.UncheckedIOException e) {
            throw new IllegalArgumentException("the response is not JSON", e);
        }
        if (!handle.isTextual() || handle.asText().isEmpty()) {
            throw new IllegalArgumentException("the response has no kv_handle");
        }
        return handle.asText();
    }

    @Override
    public HttpRequest encodeKvCacheRelease(KvCacheReference kvCache) {
        return newEndpointRequest(
                "DELETE", "/api/kv-handle/" + kvCache.handle(), kvCache.endpoint());
    }

    /**
     * Creates a request of this system's own to an endpoint, as opposed to one that forwards a
     * caller's request. A different endpoint that now has the address rejects it.
     */
    static HttpRequest newEndpointRequest(String method, String path, Endpoint endpoint) {
        HttpRequest message = new BasicHttpRequest(method, path);
        message.addHeader(HttpHeaders.HOST, endpoint.address().toString());
        message.addHeader(Headers.EXPECTED_ENDPOINT, endpoint.name());
        return message;
    }

    /** A stream that can't be named is one of which nothing is known, and no error. */
    private static Optional<String> decodeResumedStream(HttpRequest request) {
        Header[] headers = request.getHeaders(Headers.RESUMED_STREAM);
        return Optional.of(headers)
                .filter(each -> each.length == 1)
                .map(each -> each[0].getValue().strip())
                .filter(stream -> stream.chars().allMatch(OperatorWireFormat::isVisible));
    }

    private static boolean isVisible(int character) {
        return character > ' ' && character < DELETE_CHARACTER;
    }

    private static Optional<PromptMetadata> decodePrompt(HttpRequest request)
            throws MalformedRequestException {
        Optional<String> tokens = singleHeader(request, Headers.TOKEN_COUNTS);
        if (tokens.isEmpty()) {
            return Optional.empty();
        }
        String[] fields = tokens.get().split(",");
        if (fields.length != TOKEN_COUNT_FIELDS) {
            throw new MalformedRequestException(
                    Headers.TOKEN_COUNTS + " does not consist of two numbers: " + tokens);
        }
        return Optional.of(
                new PromptMetadata(
                        singleHeader(request, Headers.MODEL).orElse(""),
                        parseNumber(fields[0]),
                        parseNumber(fields[1]),
                        decodeLengthHint(request),
                        decodeParts(singleHeader(request, Headers.PROMPT_PARTS).orElse(""))));
    }

    private static PromptParts decodeParts(String text) throws MalformedRequestException {
        PromptParts.Builder parts = PromptParts.builder();
        for (int start = 0; start < text.length(); ) {
            int comma = text.indexOf(',', start);
            String part = text.substring(start, comma < 0 ? text.length() : comma);
            int colon = part.indexOf(':');
            if (colon > 0) {
                parts.add(part.substring(0, colon).strip(), parseNumber(part.substring(colon + 1)));
            }
            start += part.length() + 1;
        }
        return parts.build();
    }

    /** A hint only improves an estimate, so that one that can't be read is ignored. */
    private static OptionalDouble decodeLengthHint(HttpRequest request) {
        Header[] headers = request.getHeaders(Headers.LENGTH_HINT);
        if (headers.length != 1) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(Double.parseDouble(headers[0].getValue().strip()));
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    private static List<Header> headersToForward(HttpRequest request) {
        return Arrays.stream(request.getHeaders())
                .filter(header -> !HOP_BY_HOP_HEADERS.contains(lowerCaseName(header)))
                .filter(header -> !RESERVED_HEADERS.contains(lowerCaseName(header)))
                .toList();
    }

    private static void copyHeaders(HttpMessage from, HttpMessage to, Set<String> excludedNames) {
        Arrays.stream(from.getHeaders())
                .filter(header -> !HOP_BY_HOP_HEADERS.contains(lowerCaseName(header)))
                .filter(header -> !excludedNames.contains(lowerCaseName(header)))
                .forEach(to::addHeader);
    }

    private static String lowerCaseName(Header header) {
        return header.getName().toLowerCase(Locale.ROOT);
    }

    private static Optional<String> singleHeader(HttpRequest request, String name)
            throws MalformedRequestException {
        Header[] headers = request.getHeaders(name);
        if (headers.length > 1) {
            throw new MalformedRequestException("header " + name + " is repeated");
        }
        return headers.length == 0 ? Optional.empty() : Optional.of(headers[0].getValue().strip());
    }

    private static String headerText(HttpResponse head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null ? "" : header.getValue().strip();
    }

    private static long parseNumber(String text) throws MalformedRequestException {
        try {
            return (long) Double.parseDouble(text.strip());
        } catch (NumberFormatException e) {
            throw new MalformedRequestException("not a number: " + text);
        }
    }

    /** Of several limits the lowest counts; one that can't be read makes all of them unreadable. */
    private static StatedLimit decodeLimit(HttpResponse head) {
        Header[] headers = head.getHeaders(Headers.REQUEST_LIMIT);
        if (headers.length == 0) {
            return StatedLimit.none();
        }
        try {
            double lowest = Double.POSITIVE_INFINITY;
            for (Header header : headers) {
                lowest = Math.min(lowest, Double.parseDouble(header.getValue().strip()));
            }
            return StatedLimit.of(lowest);
        } catch (NumberFormatException e) {
            return StatedLimit.unreadable();
        }
    }

    private static EndpointNotice decodeNotice(HttpResponse head) {
        boolean leaving = headerText(head, Headers.LEAVING).equals("1");
        boolean isPause = head.getCode() == HttpStatus.SC_SERVICE_UNAVAILABLE;
        return new EndpointNotice(
                leaving, isPause ? decodePause(headerText(head, Headers.RETRY_AFTER)) : 0);
    }

    /** Returns the time in milliseconds; one that can't be read counts as 0. */
    private static long decodePause(String seconds) {
        try {
            double millis = Math.ceil(Double.parseDouble(seconds) * MILLIS_PER_SECOND);
            return (long) Math.max(0, Math.min(MAXIMUM_PAUSE_MILLIS, millis));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static Optional<LoadSample> decodeLoad(String text) {
        String[] fields = text.split(",");
        if (fields.length < LOAD_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new LoadSample(
                            Integer.parseInt(fields[0].strip()),
                            Integer.parseInt(fields[1].strip()),
                            Integer.parseInt(fields[2].strip()),
                            fields.length > LOAD_FIELDS
                                    ? decodeSlowdown(fields[LOAD_FIELDS])
                                    : OptionalDouble.empty()));
        } catch (NumberFormatException e) {
            // An invalid load value is ignored; the endpoint is then judged only by its responses.
            return Optional.empty();
        }
    }

    /** Returns the slow-down as a factor; one that can't be true of any machine is ignored. */
    private static OptionalDouble decodeSlowdown(String field) {
        try {
            double slowdown = Double.parseDouble(field.strip()) / NORMAL_SLOWDOWN;
            return slowdown > 0 && Double.isFinite(slowdown)
                    ? OptionalDouble.of(slowdown)
                    : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
