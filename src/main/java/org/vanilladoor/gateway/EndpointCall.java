package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.Optional;
import org.vanilladoor.fleet.Endpoint;

/**
 * One call to an endpoint for a caller's request.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param endpoint endpoint that is meant; another one at its address refuses the call
 * @param stage what the endpoint is to do
 * @param remainingMillis time after which the answer is of no use
 * @param team team of the caller, or empty on open routes
 * @param urgency 0 goes first, 9 last
 * @param kvCacheSource where the prompt's memory is to be fetched from
 * @param lastEventIdentifier identifier of the last event that the caller has, if a stream goes on
 */
public record EndpointCall(
        Endpoint endpoint,
        Stage stage,
        long remainingMillis,
        Optional<String> team,
        int urgency,
        Optional<KvCacheReference> kvCacheSource,
        Optional<String> lastEventIdentifier) {
    public EndpointCall {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(stage, "stage");
    }

    /** What an endpoint is to do with a request. */
    public enum Stage {
        /** Read the prompt and keep its memory for another endpoint. */
        READ_PROMPT,
        /** Run the request. */
        RUN
    }
}
