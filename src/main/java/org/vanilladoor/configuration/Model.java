package org.vanilladoor.configuration;

import java.util.List;
import java.util.Objects;

/**
 * A model that engines serve.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name that callers use
 * @param classes names of the classes of work it serves, the default one first
 */
public record Model(String name, List<String> classes) {
    public Model {
        Objects.requireNonNull(name, "name");
        classes = List.copyOf(classes);
    }
}
