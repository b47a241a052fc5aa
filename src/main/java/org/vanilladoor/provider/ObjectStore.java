package org.vanilladoor.provider;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: versioned objects with conditional updates and watches.
 *
 * <p>Futures fail with {@link VersionConflictException} where a write had no effect because another
 * came first, and with {@link StoreUnavailableException} where it is not known whether a write took
 * or will yet take effect. Implementations never repeat a write by themselves. Safe for use by any
 * thread.
 */
public interface ObjectStore {
    /** Expected version of an object that is not there. */
    long ABSENT = 0;

    /** Returns the object's newest version, or empty if there is none. */
    CompletableFuture<Optional<StoredObject>> read(String name);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param name name of the object
     * @param expectedVersion version to replace, or {@link #ABSENT} to create
     * @param content new content, at most a megabyte
     * @return the new version
     */
    CompletableFuture<Long> write(String name, long expectedVersion, byte[] content);

    /**
     * Waits until the object has a version above the given one.
     *
     * @return that version, or empty if the wait ended first
     */
    CompletableFuture<Optional<StoredObject>> watch(String name, long above, Duration wait);

    /** Returns the names that begin with the prefix, in order. */
    CompletableFuture<List<String>> list(String prefix);

    /** Deletes an object, whatever its version; deleting what is not there is no failure. */
    CompletableFuture<Void> delete(String name);
}
