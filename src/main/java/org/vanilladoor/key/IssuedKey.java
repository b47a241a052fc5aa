package org.vanilladoor.key;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.vanilladoor.common.Digests;

/**
 * A new key, shown once, with the record that is kept of it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param key text that the team's callers send
 * @param record what the system keeps
 */
public record IssuedKey(String key, KeyRecord record) {
    static final String PREFIX = "vd";
    static final String SEPARATOR = "_";
    private static final int IDENTIFIER_BYTES = 8;
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;

    /** Returns a new key for the team. */
    public static IssuedKey create(String team, SecureRandom random) {
        String identifier = hex(random, IDENTIFIER_BYTES);
        String secret = hex(random, SECRET_BYTES);
        String salt = hex(random, SALT_BYTES);
        String key = PREFIX + SEPARATOR + identifier + SEPARATOR + secret;
        return new IssuedKey(
                key, new KeyRecord(identifier, salt, digest(salt, secret), team, false));
    }

    static String digest(String salt, String secret) {
        return Digests.sha256(salt + SEPARATOR + secret);
    }

    private static String hex(SecureRandom random, int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
