package org.vanilladoor.dispatch;

import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * A snapshot of what this process knows of an endpoint; written as JSON for operators.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param description the platform's description
 * @param role role in the last load report
 * @param changing whether a role change is in progress
 * @param drained whether the endpoint is drained, so that it gets no new work
 * @param leaving whether the endpoint is leaving, so that it gets no new work
 * @param ownRequests calls in progress from this process
 * @param requests estimated calls in progress from all processes
 * @param maximumStreams number of calls served at the same time
 * @param backlogMillis predicted time to prefill the waiting prompts
 */
public record EndpointView(
        EndpointDescription description,
        EngineRole role,
        boolean changing,
        boolean drained,
        boolean leaving,
        int ownRequests,
        int requests,
        int maximumStreams,
        double backlogMillis) {
    static EndpointView of(EndpointState state) {
        return new EndpointView(
                state.description(),
                state.role(),
                state.isChanging(),
                state.isDrained(),
                state.isLeaving(),
                state.ownRequests(),
                state.requests(),
                state.maximumStreams(),
                state.backlogMillis());
    }
}
