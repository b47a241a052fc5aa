package org.vanilladoor.stream;

import java.util.Objects;
import org.vanilladoor.common.Digests;

/**
 * A software version of a service's endpoints.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service name of the service
 * @param version software version of endpoints of the service
 */
record ServiceVersion(String service, String version) {
    private static final char SEPARATOR = '\0';
    private static final int NAME_DIGITS = 32;

    ServiceVersion {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the name of this version's record among those of all services. */
    String recordName() {
        return Digests.sha256(service + SEPARATOR + version).substring(0, NAME_DIGITS);
    }
}
