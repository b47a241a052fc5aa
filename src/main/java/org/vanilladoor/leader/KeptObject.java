package org.vanilladoor.leader;

import java.util.concurrent.CompletableFuture;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * An object in the store that this process writes again and again.
 *
 * <p>Invariants: one write is open at a time; after a write of which the outcome is not known, or
 * that found another version, the version is read before the next one. Belongs to the control
 * thread.
 */
final class KeptObject {
    private final ObjectStore mStore;
    private final String mName;
    private long mVersion = ObjectStore.ABSENT;
    private boolean mOpen;

    KeptObject(ObjectStore store, String name) {
        mStore = store;
        mName = name;
    }

    /** Returns whether a write goes on. */
    boolean isOpen() {
        return mOpen;
    }

    /** Writes the object; the future fails as the write does. */
    CompletableFuture<Long> write(byte[] content) {
        mOpen = true;
        return mStore.write(mName, mVersion, content).whenComplete(this::written);
    }

    private void written(Long version, Throwable failure) {
        if (failure == null) {
            mOpen = false;
            mVersion = version;
            return;
        }
        mStore.read(mName)
                .whenComplete(
                        (found, unread) -> {
                            mOpen = false;
                            if (unread == null) {
                                mVersion =
                                        found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
                            }
                        });
    }
}
