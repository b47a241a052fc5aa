package org.vanilladoor.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Reads configurations from the platform's object store and applies changes to them.
 *
 * <p>Parts are stored under their digests before the head that lists them is written. The head is
 * replaced by a single conditional write. Invariant: the version of the head increases by one with
 * each accepted change and never decreases, even if several processes write at once. Safe for use
 * by any thread.
 */
public final class ConfigurationStore {
    private final ObjectStore mStore;

    private ConfigurationStore(ObjectStore store) {
        mStore = store;
    }

    /** Returns a configuration store on top of the given object store. */
    public static ConfigurationStore create(ObjectStore store) {
        return new ConfigurationStore(store);
    }

    /**
     * Reads the latest accepted configuration, or the empty one if none has been accepted.
     *
     * @param known a configuration whose parts are reused instead of read again
     */
    public CompletableFuture<Configuration> read(Configuration known) {
        return mStore.read(ConfigurationHead.OBJECT)
                .thenCompose(
                        found ->
                                found.map(object -> load(object, known))
                                        .orElse(
                                                CompletableFuture.completedFuture(
                                                        Configuration.none())));
    }

    /**
     * Reads the configuration whose head is given.
     *
     * @param object object that holds the head
     * @param known a configuration whose parts are reused instead of read again
     */
    public CompletableFuture<Configuration> load(StoredObject object, Configuration known) {
        ConfigurationHead head = Json.read(object.content(), ConfigurationHead.class);
        Map<String, byte[]> parts = new HashMap<>(known.partsByDigest());
        CompletableFuture<Void> completion = CompletableFuture.completedFuture(null);
        for (String digest : head.parts().values()) {
            if (!parts.containsKey(digest)) {
                completion = completion.thenCompose(ignored -> loadPart(digest, parts));
            }
        }
        return completion.thenApply(ignored -> Configuration.assemble(head, parts::get));
    }

    /**
     * Applies a change to the latest accepted configuration and stores the result.
     *
     * @param known a configuration whose parts are reused instead of read again
     * @param expectedVersion version to which the change applies, or -1 to apply it to any version
     * @param change returns the next configuration, with a new nonce
     * @return the accepted configuration; fails with {@link VersionConflictException} if another
     *     change was accepted first, and with {@link StoreUnavailableException} if it is unknown
     *     whether this change was accepted
     */
    public CompletableFuture<Configuration> applyChange(
            Configuration known, long expectedVersion, UnaryOperator<Configuration> change) {
        return mStore.read(ConfigurationHead.OBJECT)
                .thenCompose(found -> applyChangeTo(found, known, expectedVersion, change));
    }

    private CompletableFuture<Configuration> applyChangeTo(
            Optional<StoredObject> found,
            Configuration known,
            long expectedVersion,
            UnaryOperator<Configuration> change) {
        long objectVersion = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        CompletableFuture<Configuration> present =
                found.map(object -> load(object, known))
                        .orElse(CompletableFuture.completedFuture(Configuration.none()));
        return present.thenCompose(
                base -> {
                    if (expectedVersion >= 0 && base.version() != expectedVersion) {
                        throw new VersionConflictException(ConfigurationHead.OBJECT);
                    }
                    Configuration next = change.apply(base);
                    return writeParts(base, next)
                            .thenCompose(ignored -> writeHead(objectVersion, next));
                });
    }

    private CompletableFuture<Void> writeParts(Configuration base, Configuration next) {
        List<String> present = List.copyOf(base.partsByDigest().keySet());
        CompletableFuture<Void> completion = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, byte[]> part : next.partsByDigest().entrySet()) {
            if (!present.contains(part.getKey())) {
                completion =
                        completion.thenCompose(
                                ignored -> writePart(part.getKey(), part.getValue()));
            }
        }
        return completion;
    }

    private CompletableFuture<Void> writePart(String digest, byte[] content) {
        return mStore.write(ConfigurationHead.PART_PREFIX + digest, ObjectStore.ABSENT, content)
                .handle(
                        (version, failure) -> {
                            if (failure != null && !isConflict(failure)) {
                                throw new CompletionException(failure);
                            }
                            return null;
                        });
    }

    private CompletableFuture<Configuration> writeHead(long objectVersion, Configuration next) {
        return mStore.write(ConfigurationHead.OBJECT, objectVersion, Json.write(next.head()))
                .handle(
                        (version, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(next)
                                        : resolveWriteOutcome(next, failure))
                .thenCompose(result -> result);
    }

    /**
     * Finds out whether a failed write of the head took effect, by looking for its nonce in the
     * stored head. This includes writes that failed with a conflict: the write may have taken
     * effect although its response was lost, and so have caused the conflict itself.
     */
    private CompletableFuture<Configuration> resolveWriteOutcome(
            Configuration next, Throwable failure) {
        return mStore.read(ConfigurationHead.OBJECT)
                .thenApply(
                        found -> {
                            ConfigurationHead head =
                                    found.map(o -> Json.read(o.content(), ConfigurationHead.class))
                                            .orElse(Configuration.none().head());
                            if (head.nonces().contains(next.head().nonces().get(0))) {
                                return next;
                            }
                            if (isConflict(failure) || head.version() >= next.version()) {
                                throw new VersionConflictException(ConfigurationHead.OBJECT);
                            }
                            throw new StoreUnavailableException(
                                    "it is unknown whether the configuration change was accepted",
                                    failure);
                        });
    }

    private CompletableFuture<Void> loadPart(String digest, Map<String, byte[]> parts) {
        return mStore.read(ConfigurationHead.PART_PREFIX + digest)
                .thenAccept(
                        found ->
                                parts.put(
                                        digest,
                                        found.map(StoredObject::content)
                                                .orElseThrow(
                                                        () ->
                                                                new IllegalStateException(
                                                                        "stored part is missing: "
                                                                                + digest))));
    }

    private static boolean isConflict(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof VersionConflictException;
    }
}
