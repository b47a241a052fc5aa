package org.vanilladoor.configuration;

import java.util.Objects;

/**
 * A plain service, as opposed to a model, to which entries forward requests.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name in the request path, {@code /services/NAME/REST}
 * @param workClass name of the class of work of requests that change state
 * @param lookupClass name of the class of work of requests that only read
 * @param open whether callers need no key
 */
public record Service(String name, String workClass, String lookupClass, boolean open) {
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(lookupClass, "lookupClass");
    }
}
