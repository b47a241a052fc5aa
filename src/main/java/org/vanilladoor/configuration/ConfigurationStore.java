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
 * Reads and accepts configurations in the platform's object API.
 *
 * <p>Parts are written under their digests before the head names them, and the head moves by one
 * conditional update. Invariant: the head's version grows by one with each acceptance and never
 * falls, whoever races. Safe for use by any thread.
 */
public final class ConfigurationStore {
    private final ObjectStore mStore;

    private ConfigurationStore(ObjectStore store) {
        mStore = store;
    }

    /** Returns a reader and acceptor of configurations in the given store. */
    public static ConfigurationStore create(ObjectStore store) {
        return new ConfigurationStore(store);
    }

    /**
     * Reads the accepted configuration.
     *
     * @param known a configuration whose parts need not be read again
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

    /** Reads the parts of a head that was found. */
    public CompletableFuture<Configuration> load(StoredObject object, Configuration known) {
        ConfigurationHead head = Json.read(object.content(), ConfigurationHead.class);
        Map<String, byte[]> parts = new HashMap<>(known.partsByDigest());
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (String digest : head.parts().values()) {
            if (!parts.containsKey(digest)) {
                all = all.thenCompose(ignored -> loadPart(digest, parts));
            }
        }
        return all.thenApply(ignored -> Configuration.assemble(head, parts::get));
    }

    /**
     * Accepts a change.
     *
     * @param known a configuration whose parts need not be read again
     * @param expectedVersion version that the change was made for, or -1 for whichever there is
     * @param change returns the next configuration, with a nonce of its own
     * @return the accepted configuration; fails with {@link VersionConflictException} if another
     *     change came first, and with {@link StoreUnavailableException} if it can't be told whether
     *     the change was accepted
     */
    public CompletableFuture<Configuration> applyChange(
            Configuration known, long expectedVersion, UnaryOperator<Configuration> change) {
        return mStore.read(ConfigurationHead.OBJECT)
                .thenCompose(found -> acceptOver(found, known, expectedVersion, change));
    }

    private CompletableFuture<Configuration> acceptOver(
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
                            .thenCompose(ignored -> moveHead(objectVersion, next));
                });
    }

    private CompletableFuture<Void> writeParts(Configuration base, Configuration next) {
        List<String> present = List.copyOf(base.partsByDigest().keySet());
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, byte[]> part : next.partsByDigest().entrySet()) {
            if (!present.contains(part.getKey())) {
                all = all.thenCompose(ignored -> writePart(part.getKey(), part.getValue()));
            }
        }
        return all;
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

    private CompletableFuture<Configuration> moveHead(long objectVersion, Configuration next) {
        return mStore.write(ConfigurationHead.OBJECT, objectVersion, Json.write(next.head()))
                .handle(
                        (version, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(next)
                                        : settle(next, failure))
                .thenCompose(result -> result);
    }

    /** Reads back after a lost answer or a conflict, which an own lost write may have caused. */
    private CompletableFuture<Configuration> settle(Configuration next, Throwable failure) {
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
                                    "it is not known whether the change is accepted", failure);
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
                                                                        "part is missing: "
                                                                                + digest))));
    }

    private static boolean isConflict(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof VersionConflictException;
    }
}
