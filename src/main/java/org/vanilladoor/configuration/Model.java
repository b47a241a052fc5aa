package org.vanilladoor.configuration;

import java.util.List;
import java.util.Objects;

/**
 * A model served by engines.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name that callers send
 * @param classes names of the classes of work it serves; the first is the default
 */
public record Model(String name, List<String> classes) {
    public Model {
        Objects.requireNonNull(name, "name");
        classes = List.copyOf(classes);
    }
}
