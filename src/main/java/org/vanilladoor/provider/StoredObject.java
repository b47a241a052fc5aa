package org.vanilladoor.provider;

import java.util.Objects;

/**
 * One version of an object in the platform's object store.
 *
 * <p>Immutable, provided that no caller modifies the content array, which is not copied. Safe for
 * use by any thread.
 *
 * @param name name of the object
 * @param version version assigned by the platform; greater than 0, increases with each write
 * @param content content, at most 1,000,000 bytes
 */
public record StoredObject(String name, long version, byte[] content) {
    public StoredObject {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
    }
}
