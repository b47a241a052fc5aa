package org.vanilladoor.endpoint;

import java.util.Objects;
import org.vanilladoor.engine.EngineRole;

/**
 * An endpoint's report of its load, which is out of date by the time it is received.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param role role of an engine; {@link EngineRole#MIXED} for a plain service
 * @param changing whether a role change is in progress
 * @param requests number of requests being served or waiting
 * @param waitingPromptTokens prompt tokens still to be prefilled
 * @param maximumStreams number of streams or calls served at the same time
 * @param appliedOrder identifier of the last applied order, or an empty string
 * @param leaving whether the endpoint is leaving
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
