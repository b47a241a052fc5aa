package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
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
import org.vanilladoor.fleet.LoadSample;
import org.vanilladoor.gateway.CallerRequest;
import org.vanilladoor.gateway.EndpointCall;
import org.vanilladoor.gateway.EndpointResponse;
import org.vanilladoor.gateway.KvCacheReference;
import org.vanilladoor.gateway.MalformedRequestException;
import org.vanilladoor.gateway.PromptMetadata;
import org.vanilladoor.gateway.Refusal;
import org.vanilladoor.gateway.WireFormat;

/**
 * Spells callers' and endpoints' messages as the operators' platform does.
 *
 * <p>Invariants: headers that are ours to set are never taken from a caller; a key never goes on.
 * Stateless and safe for use by any thread.
 */
final class OperatorWireFormat implements WireFormat {
    /** Patience of a caller who states none, in milliseconds. */
    private static final long DEFAULT_PATIENCE_MILLIS = 30_000;

    /** Longest patience that is taken over, in milliseconds. */
    private static final long MAXIMUM_PATIENCE_MILLIS = 600_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Headers that concern one connection only. */
    private static final Set<String> HOP_HEADERS =
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

    /** Headers of a caller that the system reads, replaces or sets itself. */
    private static final Set<String> OWN_HEADERS =
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

    /** Headers of an endpoint that are meant for the system. */
    private static final Set<String> ENDPOINT_HEADERS =
            Set.of("vanilladoor-load", "vanilladoor-not-run", "vanilladoor-instance");

    @Override
    public CallerRequest decodeRequest(HttpRequest request, byte[] body)
            throws MalformedRequestException {
        checkFraming(request);
        String identifier = single(request, Headers.ATTEMPT).orElse("");
        if (identifier.isEmpty()) {
            throw new MalformedRequestException("header " + Headers.ATTEMPT + " is missing");
        }
        String host = single(request, HttpHeaders.HOST).orElse("");
        String target = request.getRequestUri();
        if (host.isEmpty() || !target.startsWith("/")) {
            throw new MalformedRequestException("host or path is missing: " + target);
        }
        Optional<String> patience = single(request, Headers.PATIENCE);
        long patienceMillis =
                patience.isPresent() ? number(patience.get()) : DEFAULT_PATIENCE_MILLIS;
        return new CallerRequest(
                identifier,
                request.getMethod(),
                host,
                target,
                Math.max(1, Math.min(MAXIMUM_PATIENCE_MILLIS, patienceMillis)),
                single(request, Headers.KEY).orElse(""),
                single(request, Headers.LAST_EVENT),
                prompt(request),
                forwarded(request),
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
        copy(endpointHead, response, ENDPOINT_HEADERS);
        return response;
    }

    @Override
    public HttpRequest encodeCall(CallerRequest request, EndpointCall call) {
        HttpRequest message = new BasicHttpRequest(request.method(), request.target());
        message.addHeader(HttpHeaders.HOST, request.host());
        message.addHeader(Headers.ATTEMPT, request.identifier());
        message.addHeader(Headers.PATIENCE, call.remainingMillis());
        message.addHeader(Headers.EXPECTED_ENDPOINT, call.endpoint().name());
        call.team().ifPresent(team -> message.addHeader(Headers.TEAM, team));
        call.lastEventIdentifier().ifPresent(last -> message.addHeader(Headers.LAST_EVENT, last));
        if (request.prompt().isPresent()) {
            message.addHeader(Headers.URGENCY, call.urgency());
        }
        if (call.stage() == EndpointCall.Stage.READ_PROMPT) {
            message.addHeader(Headers.STAGE, "prefill");
        }
        call.kvCacheSource()
                .ifPresent(
                        memory ->
                                message.addHeader(
                                        Headers.MEMORY_SOURCE,
                                        memory.endpoint().address() + "/" + memory.handle()));
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
                text(head, Headers.ATTEMPT),
                load(text(head, Headers.LOAD)));
    }

    @Override
    public String decodeKvCacheHandle(byte[] body) {
        JsonNode handle;
        try {
            handle = Json.read(body, JsonNode.class).path("kv_handle");
        } catch (java.io.UncheckedIOException e) {
            throw new IllegalArgumentException("the answer is not JSON", e);
        }
        if (!handle.isTextual() || handle.asText().isEmpty()) {
            throw new IllegalArgumentException("the answer has no kv_handle");
        }
        return handle.asText();
    }

    @Override
    public HttpRequest encodeKvCacheRelease(KvCacheReference memory) {
        return toEndpoint("DELETE", "/api/kv-handle/" + memory.handle(), memory.endpoint());
    }

    /** Returns a request of our own to an endpoint, which another one at its address refuses. */
    static HttpRequest toEndpoint(String method, String path, Endpoint endpoint) {
        HttpRequest message = new BasicHttpRequest(method, path);
        message.addHeader(HttpHeaders.HOST, endpoint.address().toString());
        message.addHeader(Headers.EXPECTED_ENDPOINT, endpoint.name());
        return message;
    }

    private static void checkFraming(HttpRequest request) throws MalformedRequestException {
        int lengths = request.countHeaders(HttpHeaders.CONTENT_LENGTH);
        int encodings = request.countHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths + encodings > 1) {
            throw new MalformedRequestException("the body's length is stated more than once");
        }
        for (Iterator<Header> headers = request.headerIterator(); headers.hasNext(); ) {
            Header header = headers.next();
            if (header.getValue() != null && header.getValue().indexOf('\0') >= 0) {
                throw new MalformedRequestException("header " + header.getName() + " has a NUL");
            }
        }
    }

    private static Optional<PromptMetadata> prompt(HttpRequest request)
            throws MalformedRequestException {
        Optional<String> tokens = single(request, Headers.TOKENS);
        if (tokens.isEmpty()) {
            return Optional.empty();
        }
        String[] counts = tokens.get().split(",");
        if (counts.length != 2) {
            throw new MalformedRequestException(Headers.TOKENS + " is not two numbers: " + tokens);
        }
        List<PromptMetadata.Part> parts = new ArrayList<>();
        for (String part : single(request, Headers.PARTS).orElse("").split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                parts.add(
                        new PromptMetadata.Part(
                                part.substring(0, colon).strip(),
                                number(part.substring(colon + 1))));
            }
        }
        return Optional.of(
                new PromptMetadata(
                        single(request, Headers.MODEL).orElse(""),
                        number(counts[0]),
                        number(counts[1]),
                        parts));
    }

    private static List<Header> forwarded(HttpRequest request) {
        return Arrays.stream(request.getHeaders())
                .filter(header -> !HOP_HEADERS.contains(lower(header)))
                .filter(header -> !OWN_HEADERS.contains(lower(header)))
                .toList();
    }

    private static void copy(HttpMessage from, HttpMessage to, Set<String> leftOut) {
        Arrays.stream(from.getHeaders())
                .filter(header -> !HOP_HEADERS.contains(lower(header)))
                .filter(header -> !leftOut.contains(lower(header)))
                .forEach(to::addHeader);
    }

    private static String lower(Header header) {
        return header.getName().toLowerCase(Locale.ROOT);
    }

    private static Optional<String> single(HttpRequest request, String name)
            throws MalformedRequestException {
        Header[] found = request.getHeaders(name);
        if (found.length > 1) {
            throw new MalformedRequestException("header " + name + " comes twice");
        }
        return found.length == 0 ? Optional.empty() : Optional.of(found[0].getValue().strip());
    }

    private static String text(HttpResponse head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null ? "" : header.getValue().strip();
    }

    private static long number(String text) throws MalformedRequestException {
        try {
            return (long) Double.parseDouble(text.strip());
        } catch (NumberFormatException e) {
            throw new MalformedRequestException("not a number: " + text);
        }
    }

    private static Optional<LoadSample> load(String text) {
        String[] counts = text.split(",");
        if (counts.length != 3) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new LoadSample(
                            Integer.parseInt(counts[0].strip()),
                            Integer.parseInt(counts[1].strip()),
                            Integer.parseInt(counts[2].strip())));
        } catch (NumberFormatException e) {
            // An endpoint that garbles its load is judged by its answers alone.
            return Optional.empty();
        }
    }
}
