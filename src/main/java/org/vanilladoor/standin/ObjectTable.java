package org.vanilladoor.standin;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * The objects of the stand-in platform, stored in memory.
 *
 * <p>Invariant: all objects share one version counter, which grows with each write, so an object
 * that is deleted and created again never gets an earlier version. Safe for use by any thread.
 */
public final class ObjectTable {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private final NavigableMap<String, StoredObject> mObjects = new TreeMap<>();
    private long mLastVersion;
    private long mWriteCount;

    private ObjectTable() {}

    /** Returns an empty table. */
    public static ObjectTable create() {
        return new ObjectTable();
    }

    /** Returns the current version of an object, or empty if there is none. */
    public synchronized Optional<StoredObject> read(String name) {
        return Optional.ofNullable(mObjects.get(name));
    }

    /**
     * Writes an object if its version is the expected one, and returns the new version.
     *
     * @param expectedVersion {@link ObjectStore#ABSENT} if the object must not exist
     * @throws VersionConflictException if the object has another version
     */
    public synchronized long write(String name, long expectedVersion, byte[] content) {
        StoredObject current = mObjects.get(name);
        long version = current == null ? ObjectStore.ABSENT : current.version();
        if (version != expectedVersion) {
            throw new VersionConflictException(name);
        }
        mLastVersion++;
        mWriteCount++;
        mObjects.put(name, new StoredObject(name, mLastVersion, content));
        notifyAll();
        return mLastVersion;
    }

    /** Deletes an object if it exists. */
    public synchronized void delete(String name) {
        mObjects.remove(name);
        mWriteCount++;
        notifyAll();
    }

    /** Returns the names that start with the prefix, in ascending order. */
    public synchronized List<String> list(String prefix) {
        return mObjects.tailMap(prefix, true).keySet().stream()
                .takeWhile(name -> name.startsWith(prefix))
                .toList();
    }

    /** Returns the number of writes that took effect, including all deletions. */
    public synchronized long writes() {
        return mWriteCount;
    }

    /**
     * Waits until an object has a version above the given one and returns it, or empty after the
     * given time.
     */
    public synchronized Optional<StoredObject> watch(
            String name, long aboveVersion, long waitMillis) throws InterruptedException {
        long endMillis = System.nanoTime() / NANOS_PER_MILLI + waitMillis;
        while (true) {
            StoredObject current = mObjects.get(name);
            if (current != null && current.version() > aboveVersion) {
                return Optional.of(current);
            }
            long remainingMillis = endMillis - System.nanoTime() / NANOS_PER_MILLI;
            if (remainingMillis <= 0) {
                return Optional.empty();
            }
            wait(remainingMillis);
        }
    }
}
