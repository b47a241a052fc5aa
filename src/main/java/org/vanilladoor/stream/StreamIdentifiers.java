package org.vanilladoor.stream;

import java.util.OptionalLong;
import org.vanilladoor.common.Digests;

/**
 * Digests of the identifiers of streams.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class StreamIdentifiers {
    private static final char SEPARATOR = '\0';
    private static final int DIGITS = Long.BYTES * 2;
    private static final int HEXADECIMAL = 16;

    private StreamIdentifiers() {}

    /**
     * Returns the digest of a stream's identifier within its service, or empty if the identifier is
     * empty, which names no stream.
     */
    static OptionalLong digest(String service, String stream) {
        if (stream.isEmpty()) {
            return OptionalLong.empty();
        }
        // Callers choose identifiers, so the digest must resist collisions made on purpose.
        String digest = Digests.sha256(service + SEPARATOR + stream);
        return OptionalLong.of(Long.parseUnsignedLong(digest.substring(0, DIGITS), HEXADECIMAL));
    }
}
