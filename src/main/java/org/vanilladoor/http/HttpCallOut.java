package org.vanilladoor.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A request to send.
 *
 * <p>Immutable but for the body's bytes, which nobody may change. Safe for use by any thread.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers besides host, content type and length
 * @param contentType type of the body
 * @param body body, empty for none
 * @param repeatable whether a kept connection may carry it; a request that may not be repeated gets
 *     a fresh connection, since on a kept one a failure does not tell whether it arrived
 */
public record HttpCallOut(
        String method,
        String target,
        Map<String, String> headers,
        String contentType,
        byte[] body,
        boolean repeatable) {
    public HttpCallOut {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns a repeatable request without a body. */
    public static HttpCallOut get(String target) {
        return new HttpCallOut("GET", target, Map.of(), "application/json", new byte[0], true);
    }

    /** Returns a request with a JSON body that may not be repeated. */
    public static HttpCallOut postOnce(String target, byte[] json) {
        return new HttpCallOut("POST", target, Map.of(), "application/json", json, false);
    }

    /** Returns the same request with one header more. */
    public HttpCallOut withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpCallOut(method, target, more, contentType, body, repeatable);
    }
}
