package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.SendPermit;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.StoredObjectLister;
import org.vanilladoor.provider.UnreadableObjects;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.transport.ConnectionUse;

/**
 * Client of the platform's object store.
 *
 * <p>Invariants: no call is retried; a call without a response in time fails with {@link
 * StoreUnavailableException}, and its connection is closed, since it can't be used for another
 * call. A response counts as the one to a read or a write only if it has that object, and after a
 * write a later version of it. A version has the era of the store, and no response of an earlier
 * era is used. A listing keeps only what is selected of the objects that are of use, and no more
 * than {@link ListingPages#MAXIMUM_BYTES} of them. Methods may be called by any thread; futures
 * complete on the control thread.
 */
final class ObjectClient implements ObjectStore, StoredObjectLister {
    private static final String REVISION_FIELD = "current_rev";

    /** Time-out for a response; a healthy store responds within a few milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 900;

    private final PlatformCalls mCalls;
    private final HostPort mAddress;
    private final StoreEra mEra = StoreEra.unknown();
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();

    private ObjectClient(PlatformCalls calls, HostPort address) {
        mCalls = calls;
        mAddress = address;
    }

    static ObjectClient create(PlatformCalls calls, HostPort address) {
        return new ObjectClient(calls, address);
    }

    @Override
    public long era() {
        return mEra.latest();
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        return send("GET", ObjectNames.objectPath(name), Optional.empty(), RESPONSE_TIMEOUT_MILLIS)
                .thenApply(
                        response ->
                                response.status() == HttpStatus.SC_NOT_FOUND
                                        ? Optional.empty()
                                        : Optional.of(
                                                toStoredObject(
                                                        name,
                                                        response.era(),
                                                        response.requireObject(
                                                                ObjectNames.platformName(name)))));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        ObjectNode meta = Json.newObject();
        meta.put("name", ObjectNames.platformName(name));
        ObjectNode body = Json.newObject();
        body.set("meta", meta);
        JsonNode spec = Json.read(content, JsonNode.class);
        body.set("spec", spec);
        boolean isNew = ObjectVersion.isAbsent(expectedVersion);
        if (!isNew) {
            meta.put("rev", ObjectVersion.revisionOf(expectedVersion));
        }
        if (expectedVersion != ABSENT && isOfEarlierEra(expectedVersion)) {
            return CompletableFuture.failedFuture(new VersionConflictException(name));
        }
        String path =
                isNew
                        ? ObjectNames.PATH + ObjectNames.encode(ObjectNames.platformKind(name))
                        : ObjectNames.objectPath(name);
        return send(isNew ? "POST" : "PUT", path, Optional.of(body), RESPONSE_TIMEOUT_MILLIS)
                .thenApply(
                        response -> {
                            boolean isConflict =
                                    response.status() == HttpStatus.SC_CONFLICT
                                            || response.status() == HttpStatus.SC_NOT_FOUND;
                            if (isConflict) {
                                throw new VersionConflictException(name);
                            }
                            return response.requireWritten(
                                    ObjectNames.platformName(name), expectedVersion, "spec", spec);
                        });
    }

    /** Reads the object once, without waiting for a change. */
    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
            String name, long afterVersion, Duration timeout) {
        return read(name)
                .thenApply(found -> found.filter(object -> object.version() > afterVersion));
    }

    /**
     * Returns the names of all objects of a kind.
     *
     * @param prefix the kind; other prefixes are not supported
     */
    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        ListingPages pages =
                newPages(
                        ObjectNames.platformKind(prefix + "/"),
                        "",
                        ObjectSelections.NAMES,
                        object -> true);
        return listPages(pages)
                .thenApply(
                        listing ->
                                listing.items().stream()
                                        .map(
                                                item ->
                                                        ObjectNames.kindPrefix(prefix + "/")
                                                                + nameOf(item))
                                        .toList());
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        return send(
                        "DELETE",
                        ObjectNames.objectPath(name),
                        Optional.empty(),
                        RESPONSE_TIMEOUT_MILLIS)
                .thenApply(
                        response -> {
                            if (response.status() != HttpStatus.SC_NOT_FOUND) {
                                response.content().requireSuccess();
                            }
                            return null;
                        });
    }

    @Override
    public CompletableFuture<List<StoredObject>> listKind(String anyName, boolean mayBeStale) {
        String kind = ObjectNames.platformKind(anyName);
        String prefix = ObjectNames.kindPrefix(anyName);
        ListingPages pages =
                newPages(
                        kind,
                        mayBeStale ? "serializable=1" : "",
                        ObjectSelections.ENCODED_OBJECTS,
                        object -> true);
        return listPages(pages)
                .thenApply(
                        listing ->
                                listing.items().stream()
                                        .map(
                                                item ->
                                                        toStoredObject(
                                                                prefix + nameOf(item),
                                                                ObjectVersion.eraOf(
                                                                        listing.version()),
                                                                item))
                                        .toList());
    }

    /**
     * Lists the objects of one of the platform's kinds.
     *
     * @param selection what is kept of each object
     * @param isOfUse whether an object is kept; the others count as absent
     */
    CompletableFuture<ObjectListing> listAll(
            String kind, JsonSelection selection, Predicate<JsonNode> isOfUse) {
        return listPages(newPages(kind, "", ObjectSelections.withMeta(selection), isOfUse));
    }

    /**
     * Waits for changes to the objects of one of the platform's kinds.
     *
     * @param version version of the store after which changes are returned
     * @param waitMillis maximum time for which the store waits for a change before it responds
     * @param use connections that may carry the call
     * @param selection what is kept of each object
     */
    CompletableFuture<StoreChanges> awaitChanges(
            String kind,
            long version,
            long waitMillis,
            ConnectionUse use,
            JsonSelection selection) {
        if (isOfEarlierEra(version)) {
            return CompletableFuture.completedFuture(StoreChanges.unknownSince(version));
        }
        long revision = ObjectVersion.revisionOf(version);
        String path =
                ObjectNames.PATH
                        + ObjectNames.encode(kind)
                        + "?watch="
                        + revision
                        + "&wait_ms="
                        + waitMillis;
        return send(
                        "GET",
                        path,
                        use,
                        Optional.empty(),
                        waitMillis + RESPONSE_TIMEOUT_MILLIS,
                        ObjectSelections.ofChanges(selection),
                        SendPermit.UNLIMITED)
                .thenApply(
                        response -> {
                            boolean isOfLaterEra = response.era() > ObjectVersion.eraOf(version);
                            if (response.status() == HttpStatus.SC_GONE || isOfLaterEra) {
                                return StoreChanges.unknownSince(version);
                            }
                            long newVersion = response.requireVersion(REVISION_FIELD);
                            List<JsonNode> events = new ArrayList<>();
                            for (StoreEntry entry : response.content().entries()) {
                                logUnreadable(kind, entry, entry.content().path("object"));
                                events.add(entry.content());
                            }
                            return new StoreChanges(false, events, newVersion);
                        })
                .exceptionally(failure -> listAgainIfUnreadable(kind, version, failure));
    }

    /** Lets the changes be skipped by a listing, since the same call would fail again. */
    private static StoreChanges listAgainIfUnreadable(
            String kind, long version, Throwable failure) {
        if (failure instanceof CompletionException wrapper
                && wrapper.getCause() instanceof UnreadableResponseException unreadable) {
            EventLog.write(
                    "store", "changes.unreadable", "kind", kind, "reason", unreadable.getMessage());
            return StoreChanges.unknownSince(version);
        }
        throw failure instanceof CompletionException wrapper
                ? wrapper
                : new CompletionException(failure);
    }

    /**
     * Changes the status of one of the platform's objects; fails if the object changes meanwhile.
     *
     * @param change receives the present status, or an empty object, and returns the new one
     */
    CompletableFuture<Void> updateStatus(
            String kind, String name, UnaryOperator<ObjectNode> change) {
        return updateStatus(kind, name, change, SendPermit.UNLIMITED);
    }

    /**
     * Changes the status of one of the platform's objects within a permit; fails if the object
     * changes meanwhile.
     *
     * @see #updateStatus(String, String, UnaryOperator)
     */
    CompletableFuture<Void> updateStatus(
            String kind, String name, UnaryOperator<ObjectNode> change, SendPermit permit) {
        String path = ObjectNames.PATH + ObjectNames.encode(kind) + "/" + ObjectNames.encode(name);
        return send(
                        "GET",
                        path,
                        ConnectionUse.ANY,
                        Optional.empty(),
                        RESPONSE_TIMEOUT_MILLIS,
                        ObjectSelections.STATUS,
                        permit)
                .thenCompose(
                        response -> {
                            JsonNode object = response.requireObject(name);
                            JsonNode status = object.path("status");
                            long version = response.versionOf(object);
                            JsonNode newStatus =
                                    change.apply(
                                            status.isObject()
                                                    ? status.deepCopy()
                                                    : Json.newObject());
                            ObjectNode body = Json.newObject();
                            body.putObject("meta")
                                    .put("name", name)
                                    .put("rev", ObjectVersion.revisionOf(version));
                            body.set("status", newStatus);
                            if (isOfEarlierEra(version)) {
                                throw new VersionConflictException(name);
                            }
                            return send(
                                            "PUT",
                                            path + "/status",
                                            ConnectionUse.ANY,
                                            Optional.of(body),
                                            RESPONSE_TIMEOUT_MILLIS,
                                            ObjectSelections.STATUS,
                                            permit)
                                    .thenAccept(
                                            written ->
                                                    written.requireWritten(
                                                            name, version, "status", newStatus));
                        });
    }

    /**
     * Returns the name of an object in the platform's format, or an empty string if it has no name
     * that can be read.
     */
    static String nameOf(JsonNode object) {
        JsonNode name = object.path("meta").path("name");
        boolean isName = name.isTextual() && isUnicode(name.asText());
        return isName ? name.asText() : "";
    }

    private static boolean isUnicode(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** Returns whether a version is of an era that is over, so that its revision says nothing. */
    private boolean isOfEarlierEra(long version) {
        return ObjectVersion.eraOf(version) < mEra.latest();
    }

    private ListingPages newPages(
            String kind, String query, JsonSelection selection, Predicate<JsonNode> isOfUse) {
        return ListingPages.create(kind, query, selection, isOfUse, mCalls.openAccount());
    }

    private CompletableFuture<ObjectListing> listPages(ListingPages pages) {
        CompletableFuture<ObjectListing> listing = requestPage(pages);
        return listing.whenComplete((found, failure) -> pages.close());
    }

    private CompletableFuture<ObjectListing> requestPage(ListingPages pages) {
        return send(
                        "GET",
                        ObjectNames.PATH + pages.target(),
                        ConnectionUse.ANY,
                        Optional.empty(),
                        RESPONSE_TIMEOUT_MILLIS,
                        ObjectSelections.ofPage(pages.selection()),
                        SendPermit.UNLIMITED)
                .thenCompose(response -> addPage(pages, response));
    }

    private CompletableFuture<ObjectListing> addPage(ListingPages pages, StoreResponse response) {
        long version = response.requireVersion(REVISION_FIELD);
        pages.requireEra(response.era());
        for (StoreEntry entry : response.content().entries()) {
            logUnreadable(pages.kind(), entry, entry.content());
            pages.add(entry);
        }
        if (response.content().body().path("has_more").asBoolean(false)) {
            if (pages.advance()) {
                return requestPage(pages);
            }
            EventLog.write("store", "listing.incomplete", "kind", pages.kind());
        }
        pages.logDropped();
        return CompletableFuture.completedFuture(new ObjectListing(pages.found(), version));
    }

    private void logUnreadable(String kind, StoreEntry entry, JsonNode object) {
        if (entry.failure().isEmpty()) {
            return;
        }
        String name = nameOf(object);
        long version = StoreResponse.versionOf(mEra.latest(), object);
        if (mUnreadableObjects.add(kind + "/" + name, version)) {
            EventLog.write(
                    "store",
                    "object.unreadable",
                    "kind",
                    kind,
                    "name",
                    name,
                    "revision",
                    version,
                    "reason",
                    entry.failure().get());
        }
    }

    private CompletableFuture<StoreResponse> send(
            String method, String path, Optional<Object> body, long timeoutMillis) {
        return send(
                method,
                path,
                ConnectionUse.ANY,
                body,
                timeoutMillis,
                ObjectSelections.OBJECT,
                SendPermit.UNLIMITED);
    }

    private CompletableFuture<StoreResponse> send(
            String method,
            String path,
            ConnectionUse use,
            Optional<Object> body,
            long timeoutMillis,
            PlatformCalls.ContentSelection content,
            SendPermit permit) {
        return mCalls.sendForEntries(
                        mAddress,
                        use,
                        new BasicHttpRequest(method, path),
                        body,
                        timeoutMillis,
                        content,
                        permit)
                .thenApply(response -> new StoreResponse(response, mEra.accept(response)));
    }

    private static StoredObject toStoredObject(String name, long era, JsonNode object) {
        return new StoredObject(
                name,
                StoreResponse.versionOf(era, object),
                contentOf(object.path(ObjectSelections.SPEC_FIELD)));
    }

    private static byte[] contentOf(JsonNode spec) {
        if (spec instanceof BinaryNode encoded) {
            return encoded.binaryValue();
        }
        // Without content, an object whose content can't be read stays present and unreadable.
        return spec.isMissingNode() ? new byte[0] : Json.write(spec);
    }
}
