package org.vanilladoor.common;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Makes identifiers that nobody else makes.
 *
 * <p>Safe for use by any thread.
 */
public final class Identifiers {
    private static final int BYTES = 12;
    private static final SecureRandom RANDOM = new SecureRandom();

    private Identifiers() {}

    /** Returns a new random identifier of 24 hexadecimal digits. */
    public static String random() {
        byte[] bytes = new byte[BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the source of randomness for secrets. */
    public static SecureRandom secureRandom() {
        return RANDOM;
    }
}
