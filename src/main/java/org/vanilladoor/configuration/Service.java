package org.vanilladoor.configuration;

import java.util.Objects;

/**
 * A plain service behind the system.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name in the path of its route
 * @param workClass name of the class of its calls that change something
 * @param lookupClass name of the class of its calls that only read
 * @param open whether the route is open to callers without a key
 */
public record Service(String name, String workClass, String lookupClass, boolean open) {
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(lookupClass, "lookupClass");
    }
}
