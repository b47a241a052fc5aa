package org.vanilladoor.standin;

import org.vanilladoor.engine.EngineRole;

/**
 * An order that reached a stand-in engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier identifier of the order
 * @param term term of the lease under which it was written
 * @param sender incarnation of the process that sent it
 * @param role role to take
 */
public record RoleOrder(String identifier, long term, String sender, EngineRole role) {}
