package org.vanilladoor.leader;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Writes objects of which the first successful write decides, whichever process it comes from.
 *
 * <p>Invariant: an object is returned only as the store had it in the era of the expected version.
 * Stateless; confined to the control thread like the store's futures.
 */
final class WriteOnceObjects {
    private final ObjectStore mStore;

    WriteOnceObjects(ObjectStore store) {
        mStore = store;
    }

    /**
     * Writes an object if it has the expected version, and otherwise reads it.
     *
     * @param expectedVersion the version to replace, which also names the era
     * @return the object as it is stored then; fails with {@link StoreUnavailableException} if its
     *     state is unknown or the store has begun another era
     */
    CompletableFuture<StoredObject> writeOrRead(String name, long expectedVersion, byte[] content) {
        long era = ObjectVersion.eraOf(expectedVersion);
        return mStore.write(name, expectedVersion, content)
                .handle(
                        (version, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(
                                                new StoredObject(name, version, content))
                                        : readAfterConflict(name, failure))
                .thenCompose(future -> future)
                .thenApply(object -> requireEra(object, era));
    }

    private CompletableFuture<StoredObject> readAfterConflict(String name, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof VersionConflictException)) {
            return CompletableFuture.failedFuture(cause);
        }
        return mStore.read(name)
                .thenApply(found -> found.orElseThrow(() -> new VersionConflictException(name)));
    }

    private static StoredObject requireEra(StoredObject object, long era) {
        if (ObjectVersion.eraOf(object.version()) != era) {
            throw new StoreUnavailableException(object.name() + ": the store is not in era " + era);
        }
        return object;
    }
}
