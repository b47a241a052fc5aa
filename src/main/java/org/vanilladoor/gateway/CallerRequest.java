package org.vanilladoor.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.hc.core5.http.Header;

/**
 * A request as the caller sent it.
 *
 * <p>Immutable but for the body's bytes, which nobody may change. Safe for use by any thread.
 *
 * @param identifier identifier of this attempt; each attempt of a caller has another one
 * @param method HTTP method
 * @param host value of the Host header
 * @param target path and query as sent
 * @param callerTimeoutMillis how long the caller waits, from now
 * @param key the caller's key, or empty
 * @param lastEventIdentifier identifier of the last event that the caller has, if it resumes a
 *     stream
 * @param prompt what a model is to read, if the request says so
 * @param headers headers that go on to the endpoint unchanged
 * @param body body, empty for none
 */
public record CallerRequest(
        String identifier,
        String method,
        String host,
        String target,
        long callerTimeoutMillis,
        String key,
        Optional<String> lastEventIdentifier,
        Optional<PromptMetadata> prompt,
        List<Header> headers,
        byte[] body) {
    public CallerRequest {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(key, "key");
        headers = List.copyOf(headers);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
