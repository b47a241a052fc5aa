package org.vanilladoor.standin;

import org.vanilladoor.engine.EngineRole;

/**
 * An order to change the role of a stand-in engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier identifier of the order
 * @param term term of the lease under which the order was written
 * @param sender incarnation of the process that sent the order
 * @param role role to change to
 */
public record RoleOrder(String identifier, long term, String sender, EngineRole role) {}
