package org.vanilladoor.caller;

import java.util.Objects;

/**
 * Who sent a request, as its key tells.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team, empty on a route that is open to all
 * @param keyIdentifier public part of the key, empty on a route that is open to all
 */
public record Caller(String team, String keyIdentifier) {
    /** A caller without a key on a route that is open to all. */
    public static final Caller ANYBODY = new Caller("", "");

    public Caller {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(keyIdentifier, "keyIdentifier");
    }
}
