package org.vanilladoor.provider;

import java.util.concurrent.CompletableFuture;

/**
 * Writes one object in the store repeatedly.
 *
 * <p>Invariants: at most one write is in progress. After a write that failed with an unknown
 * outcome or a version conflict, the current version is read before the next write. Confined to the
 * control thread.
 */
public final class VersionedObjectWriter {
    private final ObjectStore mStore;
    private final String mName;
    private long mVersion = ObjectStore.ABSENT;
    private boolean mWriting;

    private VersionedObjectWriter(ObjectStore store, String name) {
        mStore = store;
        mName = name;
    }

    /** Returns a writer for the object with the given name, of which no version is known. */
    public static VersionedObjectWriter create(ObjectStore store, String name) {
        return new VersionedObjectWriter(store, name);
    }

    /** Returns whether a write, or the read after a failed write, is in progress. */
    public boolean isWriting() {
        return mWriting;
    }

    /** Writes the object; the future fails with the failure of the write. */
    public CompletableFuture<Long> write(byte[] content) {
        mWriting = true;
        return mStore.write(mName, mVersion, content).whenComplete(this::handleWriteResult);
    }

    private void handleWriteResult(Long version, Throwable failure) {
        if (failure == null) {
            mWriting = false;
            mVersion = version;
            return;
        }
        mStore.read(mName)
                .whenComplete(
                        (found, readFailure) -> {
                            mWriting = false;
                            if (readFailure == null) {
                                mVersion =
                                        found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
                            }
                        });
    }
}
