package org.vanilladoor.standin;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * The objects of the stand-in platform, held in memory.
 *
 * <p>Invariant: versions grow with every write of the table, so that no object's version ever comes
 * back. Safe for use by any thread.
 */
public final class ObjectTable {
    private final NavigableMap<String, StoredObject> mObjects = new TreeMap<>();
    private long mLastVersion;
    private long mWrites;

    private ObjectTable() {}

    /** Returns an empty table. */
    public static ObjectTable create() {
        return new ObjectTable();
    }

    /** Returns an object's newest version. */
    public synchronized Optional<StoredObject> read(String name) {
        return Optional.ofNullable(mObjects.get(name));
    }

    /**
     * Writes an object if its version is the expected one, and returns the new version.
     *
     * @throws VersionConflictException if the object has another version
     */
    public synchronized long write(String name, long expectedVersion, byte[] content) {
        StoredObject present = mObjects.get(name);
        long version = present == null ? ObjectStore.ABSENT : present.version();
        if (version != expectedVersion) {
            throw new VersionConflictException(name);
        }
        mLastVersion++;
        mWrites++;
        mObjects.put(name, new StoredObject(name, mLastVersion, content));
        notifyAll();
        return mLastVersion;
    }

    /** Deletes an object. */
    public synchronized void delete(String name) {
        mObjects.remove(name);
        mWrites++;
        notifyAll();
    }

    /** Returns the names that begin with the prefix, in order. */
    public synchronized List<String> list(String prefix) {
        return mObjects.tailMap(prefix, true).keySet().stream()
                .takeWhile(name -> name.startsWith(prefix))
                .toList();
    }

    /** Returns how many writes took effect. */
    public synchronized long writes() {
        return mWrites;
    }

    /** Waits for a version above the given one; returns empty if the wait ends first. */
    public synchronized Optional<StoredObject> watch(String name, long above, long waitMillis)
            throws InterruptedException {
        long end = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            StoredObject present = mObjects.get(name);
            if (present != null && present.version() > above) {
                return Optional.of(present);
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (left <= 0) {
                return Optional.empty();
            }
            wait(left);
        }
    }
}
