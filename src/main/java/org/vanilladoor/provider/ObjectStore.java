package org.vanilladoor.provider;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Versioned objects of the platform, with conditional updates and watches.
 *
 * <p>Futures fail with {@link VersionConflictException} if a write had no effect because the object
 * had another version than expected, and with {@link StoreUnavailableException} if no response
 * arrived; a write may then have taken effect, or may still do so later. A version of an earlier
 * era is never the expected one. Implementations never retry a write. Safe for use by any thread.
 */
public interface ObjectStore {
    /** Expected version for a write that creates the object. */
    long ABSENT = 0;

    /**
     * Returns the era of the store, which rises when the store returns from an older copy, so that
     * acknowledged writes are gone. A store that never does so stays in era 0.
     *
     * @see ObjectVersion
     */
    default long era() {
        return 0;
    }

    /** Returns the latest version of the object, or empty if the object does not exist. */
    CompletableFuture<Optional<StoredObject>> read(String name);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param name name of the object
     * @param expectedVersion version to replace, or {@link #ABSENT} to create; {@link
     *     ObjectVersion#absentIn} creates the object in that era only
     * @param content new content, at most 1,000,000 bytes
     * @return the new version
     */
    CompletableFuture<Long> write(String name, long expectedVersion, byte[] content);

    /**
     * Waits until the object has a version greater than the given one, or until the time-out.
     *
     * @return that version, or empty after the time-out
     */
    CompletableFuture<Optional<StoredObject>> watch(
            String name, long afterVersion, Duration timeout);

    /** Returns the names of the objects that begin with the prefix, sorted. */
    CompletableFuture<List<String>> list(String prefix);

    /** Deletes an object regardless of its version; succeeds if the object does not exist. */
    CompletableFuture<Void> delete(String name);
}
