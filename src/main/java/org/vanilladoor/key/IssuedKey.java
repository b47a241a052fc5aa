package org.vanilladoor.key;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.vanilladoor.common.Digests;

/**
 * A newly issued key, shown once, and the record that is stored for it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param key complete key, which the team's callers send
 * @param record stored record, which does not contain the secret
 */
public record IssuedKey(String key, KeyRecord record) {
    static final String KEY_PREFIX = "vd";
    static final String SEPARATOR = "_";
    private static final int IDENTIFIER_BYTES = 8;
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;

    /** Returns a new key for the team. */
    public static IssuedKey create(String team, SecureRandom random) {
        String identifier = randomHex(random, IDENTIFIER_BYTES);
        String secret = randomHex(random, SECRET_BYTES);
        String salt = randomHex(random, SALT_BYTES);
        String key = KEY_PREFIX + SEPARATOR + identifier + SEPARATOR + secret;
        return new IssuedKey(
                key, new KeyRecord(identifier, salt, digest(salt, secret), team, false));
    }

    static String digest(String salt, String secret) {
        return Digests.sha256(salt + SEPARATOR + secret);
    }

    private static String randomHex(SecureRandom random, int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
