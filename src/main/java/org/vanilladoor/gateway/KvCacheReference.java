package org.vanilladoor.gateway;

import java.util.Objects;
import org.vanilladoor.fleet.Endpoint;

/**
 * The memory of a prompt that an endpoint has read.
 *
 * <p>Can be fetched once. Immutable and safe for use by any thread.
 *
 * @param endpoint endpoint that keeps it
 * @param handle the endpoint's name for it
 */
public record KvCacheReference(Endpoint endpoint, String handle) {
    public KvCacheReference {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(handle, "handle");
    }
}
