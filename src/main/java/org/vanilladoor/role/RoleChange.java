package org.vanilladoor.role;

import java.util.Objects;
import org.vanilladoor.engine.EngineRole;

/**
 * A decision that an engine is to take a role, with its reason.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param endpoint name of the engine
 * @param role role that it takes
 * @param reason reason for the change, one line of text
 */
public record RoleChange(String endpoint, EngineRole role, String reason) {
    public RoleChange {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(reason, "reason");
    }
}
