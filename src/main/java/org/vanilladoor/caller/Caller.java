package org.vanilladoor.caller;

import java.util.Objects;

/**
 * The sender of a request, as identified by its key.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param team name of the team, empty for an anonymous caller of an open service
 * @param keyIdentifier public part of the key, empty for an anonymous caller of an open service
 */
public record Caller(String team, String keyIdentifier) {
    /** A caller without a key at an open service. */
    public static final Caller ANONYMOUS = new Caller("", "");

    public Caller {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(keyIdentifier, "keyIdentifier");
    }
}
