package org.vanilladoor.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.hc.core5.http.Header;

/**
 * A decoded request of a caller.
 *
 * <p>Immutable, except that the body array is not copied and must not be modified. Safe for use by
 * any thread.
 *
 * @param identifier identifier of this attempt; unique for each attempt of a caller
 * @param method HTTP method
 * @param host value of the Host header
 * @param target path and query as sent
 * @param callerTimeoutMillis time from now for which the caller waits for the response
 * @param key the caller's API key, or an empty string
 * @param lastEventIdentifier identifier of the last event that the caller received, if it resumes a
 *     stream
 * @param resumedStream identifier of the attempt that brought the first event of the stream that
 *     the caller resumes, if the caller states a usable one
 * @param prompt model and token counts, if the request states them
 * @param headers headers that are forwarded to the endpoint unchanged
 * @param body body; empty if there is none
 */
public record CallerRequest(
        String identifier,
        String method,
        String host,
        String target,
        long callerTimeoutMillis,
        String key,
        Optional<String> lastEventIdentifier,
        Optional<String> resumedStream,
        Optional<PromptMetadata> prompt,
        List<Header> headers,
        byte[] body) {
    public CallerRequest {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(key, "key");
        headers = List.copyOf(headers);
    }

    /** Returns the identifiers of the parts of its prompt that other requests may share. */
    public List<String> sharedPromptParts() {
        return prompt.map(PromptMetadata::sharedPartIdentifiers).orElse(List.of());
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
