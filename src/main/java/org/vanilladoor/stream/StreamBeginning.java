package org.vanilladoor.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known of the beginning of a stream.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service service of the stream
 * @param version version that began it; empty if several streams with the same identifier began at
 *     different versions
 */
record StreamBeginning(String service, Optional<String> version) {
    StreamBeginning {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
    }

    /** Returns what this and other knowledge of the same stream say together. */
    StreamBeginning mergedWith(StreamBeginning other) {
        return equals(other) ? this : new StreamBeginning(service, Optional.empty());
    }
}
