package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;

/**
 * Stands in for the operators' store and the interface for usage reports.
 *
 * <p>Invariants: a write is done whole or not at all, and what was acknowledged is never lost. Safe
 * for use by any thread.
 */
final class SoakPlatform implements AutoCloseable {
    private static final String PREFIX = "/api/objects/";
    private static final int MOST_BYTES = 1_048_576;
    private static final Duration IDLE = Duration.ofMinutes(1);

    /** Longer than a process waits for an answer. */
    private static final long SILENCE_MILLIS = 2_000;

    private static final long TURNS_MILLIS = 3_000;
    private final HttpService mService;
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

    private SoakPlatform(SoakLedger ledger) throws IOException {
        mLedger = ledger;
        HostPort anyPort = new HostPort("127.0.0.1", 0);
        mService = HttpService.start("soak-platform", anyPort, IDLE, null, this::answer);
    }

    static SoakPlatform start(SoakLedger ledger) throws IOException {
        return new SoakPlatform(ledger);
    }

    HostPort address() {
        return mService.address();
    }

    /** Returns how many questions for changes came. */
    int watchRequestCount() {
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
        mService.close();
    }

    private void answer(HttpExchange exchange) throws IOException {
        if (mState == State.BUSY) {
            exchange.respondJson(503, Json.write(error("busy")));
            return;
        }
        boolean unanswered = mState == State.LOSES_ANSWERS && !exchange.method().equals("GET");
        byte[] body = exchange.readBody(MOST_BYTES);
        try {
            Reply reply =
                    exchange.path().startsWith(PREFIX)
                            ? storeCall(exchange, body)
                            : cloudCall(exchange, body);
            if (unanswered) {
                Thread.sleep(SILENCE_MILLIS);
                // Ends the connection without an answer.
                throw new IOException("the answer is lost");
            }
            exchange.respondJson(reply.status(), Json.write(reply.body()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the platform ends", e);
        }
    }

    private Reply storeCall(HttpExchange exchange, byte[] body) throws InterruptedException {
        String[] path = exchange.path().substring(PREFIX.length()).split("/");
        Optional<Long> since = exchange.queryParameter("watch").map(Long::parseLong);
        if (exchange.method().equals("GET") && since.isPresent()) {
            long wait = exchange.queryParameter("wait_ms").map(Long::parseLong).orElse(0L);
            return watch(path[0], since.get(), wait);
        }
        JsonNode content = body.length == 0 ? Json.newObject() : Json.read(body, JsonNode.class);
        synchronized (this) {
            return switch (exchange.method()) {
                case "GET" -> path.length == 1 ? list(path[0]) : read(path[0], path[1]);
                case "DELETE" -> {
                    remove(path[0], path[1]);
                    yield new Reply(200, Json.newObject());
                }
                default -> write(path, content);
            };
        }
    }

    private Reply list(String kind) {
        ObjectNode reply = Json.newObject();
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
                ObjectNode reply = Json.newObject();
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
        String holder = exchange.header(Headers.HOLDER).orElseThrow();
        long term = exchange.header(Headers.TERM).map(Long::parseLong).orElseThrow();
        long now = System.currentTimeMillis();
        checkTurns(holder, term, now);
        JsonNode report = Json.read(body, JsonNode.class);
        if (exchange.path().equals("/usage")) {
            String counts = report.path("counts").toString();
            String before = mUsage.putIfAbsent(report.path("window_id").asLong(), counts);
            if (before != null && !before.equals(counts)) {
                mLedger.broken("window " + report + " was reported before as " + before);
            }
        }
        return new Reply(200, Json.newObject());
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
        ObjectNode object = Json.newObject();
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
        return Json.newObject().put("error", text);
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
