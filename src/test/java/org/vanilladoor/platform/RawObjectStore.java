package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;

/**
 * A stand-in for the operators' store that hands out objects byte for byte as they were put, so
 * that they may contain what no JSON library writes.
 *
 * <p>Safe for use by any thread.
 */
final class RawObjectStore implements AutoCloseable {
    private static final String PREFIX = "/api/objects/";
    private static final int MAXIMUM_BODY_BYTES = 1_048_576;
    private static final int MAXIMUM_PAGE_BYTES = 1_000_000;
    private final HttpService mService;
    private final int mPageSize;
    private final Map<String, TreeMap<String, RawObject>> mObjectsByKind = new HashMap<>();
    private final List<RawChange> mChanges = new ArrayList<>();
    private final List<String> mListRequests = new ArrayList<>();
    private final AtomicInteger mUsageReports = new AtomicInteger();
    private long mRevision = 10;

    private RawObjectStore(int pageSize) throws IOException {
        mPageSize = pageSize;
        HostPort anyPort = new HostPort("127.0.0.1", 0);
        mService =
                HttpService.start("raw-store", anyPort, Duration.ofMinutes(1), null, this::handle);
    }

    /**
     * Starts a store.
     *
     * @param pageSize maximum number of objects in a response to a listing, which has no more than
     *     1 MB either, unless it is of one object
     */
    static RawObjectStore start(int pageSize) throws IOException {
        return new RawObjectStore(pageSize);
    }

    HostPort address() {
        return mService.address();
    }

    /** Returns the listings of a kind that were requested, with their queries. */
    synchronized List<String> listRequests(String kind) {
        return mListRequests.stream().filter(each -> each.startsWith(PREFIX + kind)).toList();
    }

    /** Returns the number of calls of the interface for usage reports. */
    int usageReports() {
        return mUsageReports.get();
    }

    /** Puts an object whose {@code spec} has the given bytes. */
    void put(String kind, String name, byte[] spec) {
        putWithMeta(kind, name, Json.write(name), spec, utf8("null"));
    }

    void put(String kind, String name, String spec) {
        put(kind, name, utf8(spec));
    }

    /**
     * Puts an object.
     *
     * @param key name by which the store orders the object
     * @param name the bytes of {@code meta.name}
     * @param spec the bytes of {@code spec}
     * @param status the bytes of {@code status}
     */
    synchronized void putWithMeta(
            String kind, String key, byte[] name, byte[] spec, byte[] status) {
        mRevision++;
        RawObject object = new RawObject(mRevision, name, spec, status);
        objectsOf(kind).put(key, object);
        mChanges.add(new RawChange(mRevision, kind, object, false));
        notifyAll();
    }

    synchronized void remove(String kind, String key) {
        RawObject object = objectsOf(kind).remove(key);
        mRevision++;
        mChanges.add(new RawChange(mRevision, kind, object, true));
        notifyAll();
    }

    @Override
    public void close() {
        mService.close();
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.readBody(MAXIMUM_BODY_BYTES);
        if (!exchange.path().startsWith(PREFIX)) {
            mUsageReports.incrementAndGet();
            exchange.respondJson(200, utf8("{}"));
            return;
        }
        String[] path = exchange.path().substring(PREFIX.length()).split("/");
        Optional<Long> since = exchange.queryParameter("watch").map(Long::parseLong);
        try {
            if (exchange.method().equals("GET") && since.isPresent()) {
                long waitMillis = exchange.queryParameter("wait_ms").map(Long::parseLong).get();
                exchange.respondJson(200, watch(path[0], since.get(), waitMillis));
            } else if (exchange.method().equals("GET") && path.length == 1) {
                exchange.respondJson(200, list(path[0], exchange));
            } else {
                respondToCallOfOneObject(exchange, path, body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("store stand-in is stopping", e);
        }
    }

    private synchronized void respondToCallOfOneObject(
            HttpExchange exchange, String[] path, byte[] body) {
        JsonNode content = body.length == 0 ? Json.newObject() : Json.read(body, JsonNode.class);
        String name = path.length > 1 ? path[1] : content.path("meta").path("name").asText();
        RawObject before = objectsOf(path[0]).get(name);
        boolean isCreation = exchange.method().equals("POST");
        if (before == null && !isCreation) {
            exchange.respondJson(404, utf8("{}"));
            return;
        }
        if (exchange.method().equals("GET")) {
            exchange.respondJson(200, before.toJson());
            return;
        }
        JsonNode expected = content.path("meta").path("rev");
        boolean isOtherRevision =
                before != null && expected.isNumber() && expected.asLong() != before.revision();
        if (isOtherRevision || before != null && isCreation) {
            exchange.respondJson(409, before.toJson());
            return;
        }
        boolean isStatus = path.length == 3;
        putWithMeta(
                path[0],
                name,
                Json.write(name),
                isStatus ? before.spec() : Json.write(content.path("spec")),
                isStatus
                        ? Json.write(content.path("status"))
                        : before == null ? utf8("null") : before.status());
        exchange.respondJson(200, objectsOf(path[0]).get(name).toJson());
    }

    private synchronized byte[] list(String kind, HttpExchange exchange) {
        mListRequests.add(exchange.target());
        TreeMap<String, RawObject> all = objectsOf(kind);
        var rest = exchange.queryParameter("after").map(name -> all.tailMap(name, false));
        List<byte[]> items = new ArrayList<>();
        int bytes = 0;
        for (RawObject object : rest.orElse(all).values()) {
            byte[] json = object.toJson();
            bytes += json.length;
            boolean fits = items.isEmpty() || bytes <= MAXIMUM_PAGE_BYTES;
            if (!fits || items.size() == mPageSize) {
                return page("items", items, true);
            }
            items.add(json);
        }
        return page("items", items, false);
    }

    private synchronized byte[] watch(String kind, long since, long waitMillis)
            throws InterruptedException {
        long endMillis = System.currentTimeMillis() + waitMillis;
        while (true) {
            List<byte[]> events =
                    mChanges.stream()
                            .filter(each -> each.kind().equals(kind) && each.revision() > since)
                            .map(RawChange::toJson)
                            .toList();
            long leftMillis = endMillis - System.currentTimeMillis();
            if (!events.isEmpty() || leftMillis <= 0) {
                return page("events", events, false);
            }
            wait(leftMillis);
        }
    }

    private byte[] page(String field, List<byte[]> entries, boolean hasMore) {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        page.writeBytes(utf8("{\"" + field + "\":["));
        for (int index = 0; index < entries.size(); index++) {
            page.writeBytes(utf8(index == 0 ? "" : ", "));
            page.writeBytes(entries.get(index));
        }
        String tail = "],\"has_more\":" + hasMore + ",\"current_rev\":" + mRevision + "}";
        page.writeBytes(utf8(tail));
        return page.toByteArray();
    }

    private TreeMap<String, RawObject> objectsOf(String kind) {
        return mObjectsByKind.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private static byte[] concatenate(byte[]... parts) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        Stream.of(parts).forEach(whole::writeBytes);
        return whole.toByteArray();
    }

    private record RawObject(long revision, byte[] name, byte[] spec, byte[] status) {
        byte[] toJson() {
            return concatenate(
                    utf8("{\"meta\":{\"name\":"),
                    name,
                    utf8(",\"rev\":" + revision + "},\"spec\":"),
                    spec,
                    utf8(",\"status\":"),
                    status,
                    utf8("}"));
        }
    }

    private record RawChange(long revision, String kind, RawObject object, boolean tombstone) {
        byte[] toJson() {
            return concatenate(
                    utf8("{\"object\":"),
                    object.toJson(),
                    utf8(",\"tombstone\":" + tombstone + "}"));
        }
    }
}
