package org.vanilladoor.dispatch;

import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * What is known of an endpoint at one moment.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param description the platform's description
 * @param role role in the last report
 * @param changing whether a role change is going on
 * @param drained whether new work is stopped for a planned change
 * @param leaving whether it is about to go
 * @param ownRequests calls of this process
 * @param requests calls of all processes, as far as known
 * @param maximumStreams calls served at the same time
 * @param backlogMillis predicted time to read the waiting prompts
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
