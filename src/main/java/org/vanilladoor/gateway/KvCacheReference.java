package org.vanilladoor.gateway;

import java.util.Objects;
import org.vanilladoor.fleet.Endpoint;

/**
 * Refers to the KV cache of a prompt, held by the endpoint that ran the prefill.
 *
 * <p>The cache can be fetched once. Immutable and safe for use by any thread.
 *
 * @param endpoint endpoint that holds the KV cache
 * @param handle identifier of the KV cache at that endpoint
 */
public record KvCacheReference(Endpoint endpoint, String handle) {
    public KvCacheReference {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(handle, "handle");
    }
}
