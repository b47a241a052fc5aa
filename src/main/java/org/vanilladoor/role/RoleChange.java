package org.vanilladoor.role;

import java.util.Objects;
import org.vanilladoor.engine.EngineRole;

/**
 * A role that an engine is to take, with the reason.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param endpoint name of the engine
 * @param role role to take
 * @param reason why, in one line
 */
public record RoleChange(String endpoint, EngineRole role, String reason) {
    public RoleChange {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(reason, "reason");
    }
}
