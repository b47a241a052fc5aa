package org.vanilladoor.key;

import java.util.Objects;

/**
 * The stored record of a key, which never contains the key's secret part.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier public part of the key
 * @param salt random text that is hashed together with the secret part
 * @param digest SHA-256 of the salt and the secret part
 * @param team name of the team that the key belongs to
 * @param withdrawn whether the key was withdrawn and is refused
 */
public record KeyRecord(
        String identifier, String salt, String digest, String team, boolean withdrawn) {
    public KeyRecord {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(salt, "salt");
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(team, "team");
    }

    /** Returns a copy of this record that is marked as withdrawn. */
    public KeyRecord asWithdrawn() {
        return new KeyRecord(identifier, salt, digest, team, true);
    }
}
