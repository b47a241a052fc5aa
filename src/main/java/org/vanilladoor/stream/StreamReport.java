package org.vanilladoor.stream;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * The streams that began at one VM, as stored for the other VMs.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param groups the streams by service and version
 */
record StreamReport(List<Group> groups) {
    StreamReport {
        groups = List.copyOf(groups);
    }

    /**
     * Streams of a service that began at the same version.
     *
     * @param service name of the service
     * @param version the version, or {@code null} for streams that share their identifiers with
     *     streams of other versions
     * @param digests digests of the streams' identifiers, in Base64
     */
    record Group(String service, String version, String digests) {
        /** Returns a group of streams. */
        static Group of(StreamBeginning origin, List<Long> digests) {
            ByteBuffer bytes = ByteBuffer.allocate(digests.size() * Long.BYTES);
            digests.forEach(bytes::putLong);
            return new Group(
                    origin.service(),
                    origin.version().orElse(null),
                    Base64.getEncoder().encodeToString(bytes.array()));
        }

        StreamBeginning origin() {
            return new StreamBeginning(service, Optional.ofNullable(version));
        }

        /**
         * Returns the digests in ascending order.
         *
         * @throws IllegalArgumentException if they can't be decoded
         */
        long[] sortedDigests() {
            byte[] bytes = Base64.getDecoder().decode(digests);
            if (bytes.length % Long.BYTES != 0) {
                throw new IllegalArgumentException("digests end in the middle of one");
            }
            long[] sorted = new long[bytes.length / Long.BYTES];
            ByteBuffer.wrap(bytes).asLongBuffer().get(sorted);
            Arrays.sort(sorted);
            return sorted;
        }
    }
}
