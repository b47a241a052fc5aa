package org.vanilladoor.key;

import java.util.Objects;

/**
 * What the system keeps of a key: never the key itself.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier public part of the key
 * @param salt random text that goes into the digest
 * @param digest SHA-256 of salt and secret part
 * @param team name of the team that the key belongs to
 * @param withdrawn whether the key no longer works
 */
public record KeyRecord(
        String identifier, String salt, String digest, String team, boolean withdrawn) {
    public KeyRecord {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(salt, "salt");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(team, "team");
    }

    /** Returns the record of the same key once it is withdrawn. */
    public KeyRecord asWithdrawn() {
        return new KeyRecord(identifier, salt, digest, team, true);
    }
}
