package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.Links;
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * The one client of the platform's object store.
 *
 * <p>Objects of the product are named kind/name; their kinds are kept apart from the platform's by
 * a prefix. Invariants: no call is repeated; a call that is not answered in time ends as
 * unavailable and its connection is closed, since nothing further comes on it. Calls may be made by
 * any thread; futures complete on the control thread.
 */
final class ObjectClient implements ObjectStore {
    private static final String PATH = "/api/objects/";

    /** Keeps the product's kinds apart from those of the platform. */
    private static final String KIND_PREFIX = "vanilladoor-";

    /** Longest time for an answer; the store answers in a few milliseconds when it is well. */
    private static final long ANSWER_MILLIS = 900;

    private static final long CONNECT_MILLIS = 500;
    private final ControlLoop mControl;
    private final Links mLinks;
    private final HostPort mAddress;

    private ObjectClient(ControlLoop control, Links links, HostPort address) {
        mControl = control;
        mLinks = links;
        mAddress = address;
    }

    static ObjectClient create(ControlLoop control, Links links, HostPort address) {
        return new ObjectClient(control, links, address);
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
        ObjectNode meta = JsonNodeFactory.instance.objectNode();
        meta.put("name", plainName(name));
        ObjectNode body = JsonNodeFactory.instance.objectNode();
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
        return objects(prefix + "/x", false)
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

    /**
     * Returns all objects of the product's kind that a name belongs to.
     *
     * @param mayBeStale whether an answer of some seconds ago will do, which costs a tenth
     */
    CompletableFuture<List<StoredObject>> objects(String anyName, boolean mayBeStale) {
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

    private CompletableFuture<Reply> call(
            String method, String path, Optional<JsonNode> body, long answerMillis) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        HttpRequest request = new BasicHttpRequest(method, path);
        request.addHeader(HttpHeaders.HOST, mAddress.toString());
        body.ifPresent(present -> request.addHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
        byte[] bytes = body.map(Json::write).orElse(new byte[0]);
        mControl.execute(
                () -> {
                    OutgoingCall call =
                            mLinks.send(
                                    mAddress,
                                    CONNECT_MILLIS,
                                    request,
                                    bytes,
                                    new Collector(method + " " + path, result));
                    mControl.delay(
                            Duration.ofMillis(answerMillis),
                            () -> {
                                if (!result.isDone()) {
                                    call.abandon();
                                    result.completeExceptionally(
                                            new StoreUnavailableException(
                                                    "no answer to " + method + " " + path));
                                }
                            });
                });
        return result;
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

    /** An answer of the store. */
    private record Reply(String call, int status, JsonNode body) {
        JsonNode good() {
            if (status >= HttpStatus.SC_REDIRECTION) {
                throw new StoreUnavailableException(call + " was answered with " + status);
            }
            return body;
        }
    }

    /** Collects an answer; belongs to the control thread. */
    private static final class Collector implements OutgoingListener {
        private final String mCall;
        private final CompletableFuture<Reply> mResult;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        Collector(String call, CompletableFuture<Reply> result) {
            mCall = call;
            mResult = result;
        }

        @Override
        public void head(HttpResponse head) {
            mStatus = head.getCode();
        }

        @Override
        public void data(byte[] bytes) {
            mBody.writeBytes(bytes);
        }

        @Override
        public void ended() {
            try {
                JsonNode body =
                        mBody.size() == 0
                                ? JsonNodeFactory.instance.objectNode()
                                : Json.read(mBody.toByteArray(), JsonNode.class);
                mResult.complete(new Reply(mCall, mStatus, body));
            } catch (UncheckedIOException e) {
                mResult.completeExceptionally(
                        new StoreUnavailableException(mCall + ": the answer is not JSON", e));
            }
        }

        @Override
        public void failed(CallFailure failure) {
            mResult.completeExceptionally(
                    new StoreUnavailableException(mCall + ": " + failure.reason()));
        }
    }
}
