package org.vanilladoor.common;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Generates random identifiers, unique across processes with overwhelming probability.
 *
 * <p>Safe for use by any thread.
 */
public final class Identifiers {
    private static final int IDENTIFIER_BYTES = 12;
    private static final SecureRandom RANDOM = new SecureRandom();

    private Identifiers() {}

    /** Returns a new random identifier of 24 hexadecimal digits. */
    public static String random() {
        byte[] bytes = new byte[IDENTIFIER_BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the random number generator to use for secrets. */
    public static SecureRandom secureRandom() {
        return RANDOM;
    }
}
