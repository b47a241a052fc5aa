package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;

/**
 * Stands in for the operators' store and the interface for usage reports.
 *
 * <p>Invariants: a write is done whole or not at all, and what was acknowledged is never lost. Safe
 * for use by any thread.
 */
final class SoakPlatform implements AutoCloseable {
    private static final String PREFIX = "/api/objects/";
    private static final long TURNS_MILLIS = 3_000;
    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final SoakLedger mLedger;
    private final Map<String, Map<String, ObjectNode>> mKinds = new HashMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private final Map<Long, String> mUsage = new HashMap<>();
    private final Map<String, Long> mExcused = new HashMap<>();
    private final List<Call> mCalls = new ArrayList<>();
    private long mRevision = 10;
    private long mForgotten;
    private final AtomicInteger mWatches = new AtomicInteger();
    private volatile State mState = State.WELL;

    private SoakPlatform(HttpServer server, SoakLedger ledger) {
        mServer = server;
        mLedger = ledger;
    }

    static SoakPlatform start(SoakLedger ledger) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        SoakPlatform platform = new SoakPlatform(server, ledger);
        server.setExecutor(platform.mThreads);
        server.createContext("/", platform::answer);
        server.start();
        return platform;
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServer.getAddress().getPort());
    }

    /** Returns how many questions for changes came. */
    int watches() {
        return mWatches.get();
    }

    void become(State state) {
        mState = state;
    }

    /** Forgets its history: watches from before have to list again. */
    synchronized void forget() {
        mForgotten = mRevision;
        mChanges.clear();
    }

    /** Writes as the operator and the endpoints do. */
    synchronized void put(String kind, String name, JsonNode spec) {
        ObjectNode before = objects(kind).get(name);
        ObjectNode object = object(name, spec);
        if (before != null) {
            object.set("status", before.get("status"));
        }
        store(kind, name, object);
    }

    synchronized void remove(String kind, String name) {
        ObjectNode object = objects(kind).remove(name);
        if (object != null) {
            mRevision++;
            mChanges.add(new Change(mRevision, kind, object, true));
            notifyAll();
        }
    }

    /** Calls of a VM that was thawed or whose link healed don't count for a while. */
    synchronized void excuse(String machine, long untilMillis) {
        mExcused.merge(machine, untilMillis, Math::max);
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private void answer(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (mState == State.BUSY) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            boolean unanswered = mState == State.LOSES_ANSWERS;
            Reply reply =
                    exchange.getRequestURI().getPath().startsWith(PREFIX)
                            ? storeCall(exchange, body)
                            : cloudCall(exchange, body);
            if (unanswered && !exchange.getRequestMethod().equals("GET")) {
                // Done, and the connection says nothing more.
                Thread.sleep(2_000);
                return;
            }
            byte[] bytes = Json.write(reply.body());
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Reply storeCall(HttpExchange exchange, byte[] body) throws InterruptedException {
        String[] path = exchange.getRequestURI().getPath().substring(PREFIX.length()).split("/");
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        if (exchange.getRequestMethod().equals("GET") && query.containsKey("watch")) {
            long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
            return watch(path[0], Long.parseLong(query.get("watch")), wait);
        }
        JsonNode content =
                body.length == 0
                        ? JsonNodeFactory.instance.objectNode()
                        : Json.read(body, JsonNode.class);
        synchronized (this) {
            return switch (exchange.getRequestMethod()) {
                case "GET" -> path.length == 1 ? list(path[0]) : read(path[0], path[1]);
                case "DELETE" -> {
                    remove(path[0], path[1]);
                    yield new Reply(200, JsonNodeFactory.instance.objectNode());
                }
                default -> write(path, content);
            };
        }
    }

    private Reply list(String kind) {
        ObjectNode reply = JsonNodeFactory.instance.objectNode();
        objects(kind).values().forEach(reply.putArray("items")::add);
        reply.put("has_more", false);
        reply.put("current_rev", mRevision);
        return new Reply(200, reply);
    }

    private Reply read(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? new Reply(404, error("none")) : new Reply(200, object);
    }

    private Reply write(String[] path, JsonNode content) {
        String name = path.length > 1 ? path[1] : content.path("meta").path("name").asText();
        ObjectNode before = objects(path[0]).get(name);
        boolean creates = path.length == 1;
        JsonNode expected = content.path("meta").path("rev");
        if (before == null && !creates) {
            return new Reply(404, error("none"));
        }
        if (before != null && (creates || differs(expected, before))) {
            return new Reply(409, before);
        }
        ObjectNode object = object(name, content.path("spec"));
        boolean status = path.length == 3;
        if (before != null) {
            object.set("spec", status ? before.get("spec") : content.path("spec"));
            object.set("status", status ? content.path("status") : before.get("status"));
        }
        store(path[0], name, object);
        return new Reply(200, object);
    }

    private static boolean differs(JsonNode expected, ObjectNode object) {
        return expected.isNumber() && expected.asLong() != object.path("meta").path("rev").asLong();
    }

    private Reply watch(String kind, long since, long waitMillis) throws InterruptedException {
        mWatches.incrementAndGet();
        long end = System.currentTimeMillis() + waitMillis;
        synchronized (this) {
            while (true) {
                if (since < mForgotten) {
                    return new Reply(410, error("gone"));
                }
                ObjectNode reply = JsonNodeFactory.instance.objectNode();
                var events = reply.putArray("events");
                mChanges.stream()
                        .filter(change -> change.kind().equals(kind) && change.revision() > since)
                        .forEach(
                                change ->
                                        events.addObject()
                                                .put("tombstone", change.tombstone())
                                                .set("object", change.object()));
                reply.put("current_rev", mRevision);
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0) {
                    return new Reply(200, reply);
                }
                wait(left);
            }
        }
    }

    private synchronized Reply cloudCall(HttpExchange exchange, byte[] body) {
        String holder = exchange.getRequestHeaders().getFirst(Headers.HOLDER);
        long term = Long.parseLong(exchange.getRequestHeaders().getFirst(Headers.TERM));
        long now = System.currentTimeMillis();
        checkTurns(holder, term, now);
        JsonNode report = Json.read(body, JsonNode.class);
        if (exchange.getRequestURI().getPath().equals("/usage")) {
            String counts = report.path("counts").toString();
            String before = mUsage.putIfAbsent(report.path("window_id").asLong(), counts);
            if (before != null && !before.equals(counts)) {
                mLedger.broken("window " + report + " was reported before as " + before);
            }
        }
        return new Reply(200, JsonNodeFactory.instance.objectNode());
    }

    private void checkTurns(String holder, long term, long now) {
        if (mExcused.getOrDefault(holder, 0L) > now) {
            return;
        }
        boolean back = false;
        boolean other = false;
        for (int i = mCalls.size() - 1; i >= 0; i--) {
            Call call = mCalls.get(i);
            if (call.term() > term) {
                mLedger.broken(holder + " called with term " + term + " after " + call);
                break;
            }
            if (call.term() == term && !call.holder().equals(holder)) {
                mLedger.broken(holder + " and " + call + " share a term");
                break;
            }
            other |= !call.holder().equals(holder);
            back |= other && call.holder().equals(holder) && now - call.atMillis() < TURNS_MILLIS;
        }
        if (back) {
            mLedger.broken(holder + " took the duty back within " + TURNS_MILLIS + " ms");
        }
        mCalls.add(new Call(holder, term, now));
    }

    private Map<String, ObjectNode> objects(String kind) {
        return mKinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private static ObjectNode object(String name, JsonNode spec) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.putObject("meta").put("name", name);
        object.set("spec", spec);
        object.putNull("status");
        return object;
    }

    private synchronized void store(String kind, String name, ObjectNode object) {
        mRevision++;
        ((ObjectNode) object.get("meta")).put("rev", mRevision);
        objects(kind).put(name, object);
        mChanges.add(new Change(mRevision, kind, object, false));
        notifyAll();
    }

    private static JsonNode error(String text) {
        return JsonNodeFactory.instance.objectNode().put("error", text);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, Math.max(0, equals)), pair.substring(equals + 1));
        }
        return query;
    }

    /** How it answers. */
    enum State {
        WELL,
        BUSY,
        /** Writes are done and not answered. */
        LOSES_ANSWERS
    }

    private record Reply(int status, JsonNode body) {}

    private record Change(long revision, String kind, ObjectNode object, boolean tombstone) {}

    private record Call(String holder, long term, long atMillis) {}
}
