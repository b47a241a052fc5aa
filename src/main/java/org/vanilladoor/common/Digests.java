package org.vanilladoor.common;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Cryptographic digests and placement hashes of bytes and text.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class Digests {
    private static final HexFormat HEX = HexFormat.of();

    private Digests() {}

    /** Returns the SHA-256 digest of the bytes in lower-case hexadecimal. */
    public static String sha256(byte[] content) {
        try {
            return HEX.formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not support SHA-256", e);
        }
    }

    /** Returns the SHA-256 digest of the text's UTF-8 form in lower-case hexadecimal. */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a fast, non-cryptographic hash for assigning names to shards and VMs. Do not use it
     * where an attacker must not find collisions.
     */
    public static long placementHash(String text) {
        return Hashing.wyhashFinal4().hashCharsToLong(text);
    }

    /**
     * Returns whether both secrets are equal. The duration of the comparison does not depend on
     * where they differ, so it leaks nothing to a timing attack.
     */
    public static boolean constantTimeEquals(String first, String second) {
        return MessageDigest.isEqual(
                first.getBytes(StandardCharsets.UTF_8), second.getBytes(StandardCharsets.UTF_8));
    }
}
