package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.leader.StoredObjectLister;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;

/**
 * The one client of the platform's object store.
 *
 * <p>Objects of the product are named kind/name; their kinds are kept apart from the platform's by
 * a prefix. Invariants: no call is repeated; a call that is not answered in time ends as
 * unavailable and its connection is closed, since nothing further comes on it. Calls may be made by
 * any thread; futures complete on the control thread.
 */
final class ObjectClient implements ObjectStore, StoredObjectLister {
    private static final String PATH = "/api/objects/";

    /** Keeps the product's kinds apart from those of the platform. */
    private static final String KIND_PREFIX = "vanilladoor-";

    /** Longest time for an answer; the store answers in a few milliseconds when it is well. */
    private static final long ANSWER_MILLIS = 900;

    private final PlatformCalls mCalls;
    private final HostPort mAddress;

    private ObjectClient(PlatformCalls calls, HostPort address) {
        mCalls = calls;
        mAddress = address;
    }

    static ObjectClient create(PlatformCalls calls, HostPort address) {
        return new ObjectClient(calls, address);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        return call("GET", path(name), Optional.empty(), ANSWER_MILLIS)
                .thenApply(
                        reply ->
                                reply.status() == HttpStatus.SC_NOT_FOUND
                                        ? Optional.empty()
                                        : Optional.of(object(name, reply.good())));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        ObjectNode meta = Json.newObject();
        meta.put("name", plainName(name));
        ObjectNode body = Json.newObject();
        body.set("meta", meta);
        body.set("spec", Json.read(content, JsonNode.class));
        boolean creates = expectedVersion == ABSENT;
        if (!creates) {
            meta.put("rev", expectedVersion);
        }
        String path = creates ? PATH + kind(name) : path(name);
        return call(creates ? "POST" : "PUT", path, Optional.of(body), ANSWER_MILLIS)
                .thenApply(
                        reply -> {
                            boolean conflict =
                                    reply.status() == HttpStatus.SC_CONFLICT
                                            || reply.status() == HttpStatus.SC_NOT_FOUND;
                            if (conflict) {
                                throw new VersionConflictException(name);
                            }
                            return reply.good().path("meta").path("rev").asLong();
                        });
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String name, long above, Duration wait) {
        return read(name).thenApply(found -> found.filter(each -> each.version() > above));
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        return listKind(prefix + "/", false)
                .thenApply(objects -> objects.stream().map(StoredObject::name).toList());
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        return call("DELETE", path(name), Optional.empty(), ANSWER_MILLIS)
                .thenApply(
                        reply -> {
                            if (reply.status() != HttpStatus.SC_NOT_FOUND) {
                                reply.good();
                            }
                            return null;
                        });
    }

    @Override
    public CompletableFuture<List<StoredObject>> listKind(String anyName, boolean mayBeStale) {
        String kind = kind(anyName);
        String prefix = anyName.substring(0, anyName.indexOf('/') + 1);
        return list(kind, mayBeStale ? "serializable=1" : "", "", new ArrayList<>())
                .thenApply(
                        listing ->
                                listing.items().stream()
                                        .map(item -> object(prefix + nameOf(item), item))
                                        .toList());
    }

    /** Returns all objects of a kind of the platform, with the revision that they are of. */
    CompletableFuture<Listing> listAll(String kind) {
        return list(kind, "", "", new ArrayList<>());
    }

    /**
     * Waits for changes of a kind of the platform.
     *
     * @param revision revision that is known
     * @param waitMillis how long the store waits for a change
     */
    CompletableFuture<Changes> changes(String kind, long revision, long waitMillis) {
        String path = PATH + kind + "?watch=" + revision + "&wait_ms=" + waitMillis;
        return call("GET", path, Optional.empty(), waitMillis + ANSWER_MILLIS)
                .thenApply(
                        reply -> {
                            if (reply.status() == HttpStatus.SC_GONE) {
                                return new Changes(true, List.of(), revision);
                            }
                            List<JsonNode> events = new ArrayList<>();
                            reply.good().path("events").forEach(events::add);
                            return new Changes(false, events, revisionOf(reply.body()));
                        });
    }

    /** Writes the status of an object of the platform, whatever its version. */
    CompletableFuture<Void> writeStatus(String kind, String name, JsonNode status) {
        ObjectNode body = Json.newObject();
        body.putObject("meta").put("name", name);
        body.set("status", status);
        String path = PATH + kind + "/" + name + "/status";
        return call("PUT", path, Optional.of(body), ANSWER_MILLIS)
                .thenAccept(PlatformCalls.Reply::good);
    }

    static String nameOf(JsonNode object) {
        return object.path("meta").path("name").asText();
    }

    private CompletableFuture<Listing> list(
            String kind, String query, String after, List<JsonNode> found) {
        String continued = after.isEmpty() ? query : query + "&after=" + after;
        String path = PATH + kind + (continued.isEmpty() ? "" : "?" + continued);
        return call("GET", path, Optional.empty(), ANSWER_MILLIS)
                .thenCompose(
                        reply -> {
                            JsonNode body = reply.good();
                            body.path("items").forEach(found::add);
                            boolean more = body.path("has_more").asBoolean(false);
                            return more && !found.isEmpty()
                                    ? list(kind, query, nameOf(found.get(found.size() - 1)), found)
                                    : CompletableFuture.completedFuture(
                                            new Listing(found, revisionOf(body)));
                        });
    }

    private CompletableFuture<PlatformCalls.Reply> call(
            String method, String path, Optional<Object> body, long answerMillis) {
        return mCalls.send(mAddress, new BasicHttpRequest(method, path), body, answerMillis);
    }

    private static StoredObject object(String name, JsonNode object) {
        return new StoredObject(
                name, object.path("meta").path("rev").asLong(), Json.write(object.path("spec")));
    }

    private static long revisionOf(JsonNode body) {
        return body.path("current_rev").asLong();
    }

    private static String kind(String name) {
        return KIND_PREFIX + name.substring(0, name.indexOf('/'));
    }

    private static String plainName(String name) {
        return name.substring(name.indexOf('/') + 1).replace('/', '.');
    }

    private static String path(String name) {
        return PATH + kind(name) + "/" + plainName(name);
    }

    /**
     * All objects of a kind.
     *
     * @param items the objects
     * @param revision revision of the store that they are of
     */
    record Listing(List<JsonNode> items, long revision) {}

    /**
     * What has changed in a kind.
     *
     * @param forgotten whether the store no longer knows; everything has to be listed again
     * @param events changes in order
     * @param revision revision up to which they go
     */
    record Changes(boolean forgotten, List<JsonNode> events, long revision) {}
}
