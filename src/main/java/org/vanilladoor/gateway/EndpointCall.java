package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.Optional;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.Route;

/**
 * The parameters of one endpoint call made on behalf of a caller's request.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param endpoint the intended endpoint; a different endpoint that now has its address rejects the
 *     call
 * @param stage the work requested
 * @param remainingMillis time until the request's deadline
 * @param team the caller's team; empty on routes that require no key
 * @param urgency scheduling priority at the engine, from 0 (first) to 9 (last)
 * @param kvCacheSource KV cache that the endpoint fetches instead of running the prefill itself
 * @param lastEventIdentifier identifier of the last event that the caller received, if the call
 *     resumes a stream
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

    /**
     * Returns the next call for a request.
     *
     * @param kvCache KV cache of the prompt, which a run takes
     */
    static EndpointCall of(
            Endpoint endpoint,
            Stage stage,
            CallerRequest request,
            RequestProgress progress,
            Optional<AuthorizedTeam> team,
            Route route,
            KvCacheSlot kvCache) {
        return new EndpointCall(
                endpoint,
                stage,
                Math.max(1, progress.deadlineMillis() - MonotonicClock.nowMillis()),
                team.map(AuthorizedTeam::name),
                Urgency.of(route, team),
                stage == Stage.RUN ? kvCache.takeForCall() : Optional.empty(),
                progress.events().lastIdentifier().or(request::lastEventIdentifier));
    }

    /** The work that an endpoint is asked to do for a request. */
    public enum Stage {
        /** Prefill the prompt and keep its KV cache for another endpoint to fetch. */
        READ_PROMPT,
        /** Run the request and return its response. */
        RUN
    }
}
