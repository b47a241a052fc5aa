package org.vanilladoor.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request to send.
 *
 * <p>Immutable, provided that nobody changes the body's bytes. Safe for use by any thread.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers besides host, content type and length
 * @param contentType type of the body
 * @param body body, empty for none
 * @param retryable whether the request may run more than once and so may use a pooled connection;
 *     any other request gets a new connection, because a failure on a pooled one does not tell
 *     whether the request arrived
 */
public record HttpClientRequest(
        String method,
        String target,
        Map<String, String> headers,
        String contentType,
        byte[] body,
        boolean retryable) {
    public HttpClientRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns a retryable request without a body. */
    public static HttpClientRequest get(String target) {
        return new HttpClientRequest(
                "GET", target, Map.of(), "application/json", new byte[0], true);
    }

    /** Returns a request with a JSON body that is not retryable. */
    public static HttpClientRequest postOnce(String target, byte[] json) {
        return new HttpClientRequest("POST", target, Map.of(), "application/json", json, false);
    }

    /** Returns the same request with one header added or replaced. */
    public HttpClientRequest withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpClientRequest(method, target, more, contentType, body, retryable);
    }
}
