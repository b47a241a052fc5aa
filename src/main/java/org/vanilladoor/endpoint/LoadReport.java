package org.vanilladoor.endpoint;

import java.util.Objects;
import org.vanilladoor.engine.EngineRole;

/**
 * What an endpoint tells of its load; it lags.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param role role of an engine; {@link EngineRole#MIXED} for a plain service
 * @param changing whether a role change is going on
 * @param requests requests inside
 * @param waitingPromptTokens prompt tokens still to be read
 * @param maximumStreams streams or calls served at the same time
 * @param appliedOrder identifier of the last order that was applied, or empty
 * @param leaving whether the endpoint is about to go
 */
public record LoadReport(
        EngineRole role,
        boolean changing,
        int requests,
        long waitingPromptTokens,
        int maximumStreams,
        String appliedOrder,
        boolean leaving) {
    public LoadReport {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(appliedOrder, "appliedOrder");
    }
}
