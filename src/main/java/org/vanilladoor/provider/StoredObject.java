package org.vanilladoor.provider;

import java.util.Objects;

/**
 * One version of an object of the platform's object API.
 *
 * <p>Immutable but for the content's bytes, which nobody may change. Safe for use by any thread.
 *
 * @param name name of the object
 * @param version version given by the platform, above 0 and growing with each write
 * @param content content, at most a megabyte
 */
public record StoredObject(String name, long version, byte[] content) {
    public StoredObject {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
    }
}
