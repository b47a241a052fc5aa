package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.transport.FrontExchange;
import org.vanilladoor.transport.FrontServer;

/**
 * The store and the endpoints for a warm-up: one configuration, two engines and one plain endpoint,
 * all at one address.
 *
 * <p>Invariant: every request is served, except that a watch for changes gets no response. Confined
 * to its own control thread.
 */
final class WarmUpPlatform implements AutoCloseable {
    /** Path prefix of the route to the plain service. */
    static final String PLAIN_PATH = "/plain/";

    /** Path of no route. */
    static final String UNKNOWN_PATH = "/unknown/";

    /** Path prefix of the route to the engines. */
    static final String STREAM_PATH = "/stream/";

    /** Key of the only team. */
    static final String KEY = "warm-up-key";

    private static final int MAXIMUM_HEADER_LINE_BYTES = 16 * 1024;
    private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;
    private static final String OBJECTS_PATH = "/api/objects/";
    private static final String PLAIN_SERVICE = "plain-service";
    private static final String ENGINE_SERVICE = "engine-service";
    private static final String EVENT = "id: 1\ndata: warm\n\n";
    private final ControlLoop mControl;
    private final FrontServer mServer;
    private final String mCallerHost;
    private long mVersion;

    private WarmUpPlatform(HostPort address, String callerHost) throws IOException {
        mCallerHost = callerHost;
        mControl = ControlLoop.start("warm-up-platform");
        mServer =
                FrontServer.start(
                        address,
                        mControl,
                        MemoryBudget.ofHeap(),
                        MAXIMUM_HEADER_LINE_BYTES,
                        () -> MAXIMUM_BODY_BYTES,
                        this::respond);
    }

    /**
     * Starts the platform.
     *
     * @param address address of the store and of the endpoints
     * @param callerHost host of the routes, as callers name it
     * @throws IOException if the address can't be listened on
     */
    static WarmUpPlatform start(HostPort address, String callerHost) throws IOException {
        return new WarmUpPlatform(address, callerHost);
    }

    @Override
    public void close() {
        mServer.close();
        mControl.close();
    }

    private void respond(FrontExchange exchange) {
        HttpRequest request = exchange.request();
        String target = request.getRequestUri();
        if (request.containsHeader(Headers.ATTEMPT_IDENTIFIER)) {
            respondAsEndpoint(exchange);
        } else if (target.contains("watch=")) {
            return;
        } else if (target.startsWith(OBJECTS_PATH) && request.getMethod().equals("GET")) {
            respondToRead(exchange, target.substring(OBJECTS_PATH.length()));
        } else {
            ObjectNode written = Json.newObject();
            written.putObject("meta").put("rev", ++mVersion);
            respond(exchange, HttpStatus.SC_OK, written);
        }
    }

    private void respondToRead(FrontExchange exchange, String kindAndName) {
        if (kindAndName.contains("/")) {
            respond(exchange, HttpStatus.SC_NOT_FOUND, Json.newObject());
            return;
        }
        ObjectNode listing = Json.newObject();
        ArrayNode items = listing.putArray("items");
        if (kindAndName.startsWith(ConfigurationFeed.KIND)) {
            items.add(object("main", configuration()));
        } else if (kindAndName.startsWith(EndpointFeed.KIND)) {
            items.add(object("plain", entry(PLAIN_SERVICE, "")));
            items.add(object("prefill", entry(ENGINE_SERVICE, "prefill")));
            items.add(object("decode", entry(ENGINE_SERVICE, "decode")));
        }
        listing.put("has_more", false);
        listing.put("current_rev", 1);
        respond(exchange, HttpStatus.SC_OK, listing);
    }

    private static void respondAsEndpoint(FrontExchange exchange) {
        HttpRequest request = exchange.request();
        HttpResponse head = new BasicHttpResponse(HttpStatus.SC_OK);
        Header attempt = request.getFirstHeader(Headers.ATTEMPT_IDENTIFIER);
        head.addHeader(Headers.ATTEMPT_IDENTIFIER, attempt.getValue());
        head.addHeader(Headers.SIGNATURE, "warm-up");
        head.addHeader(Headers.LOAD, "1,0,1");
        if (request.containsHeader(Headers.STAGE)) {
            ObjectNode handle = Json.newObject().put("kv_handle", "warm-up");
            exchange.respond(head, Json.write(handle));
        } else if (request.getRequestUri().startsWith(STREAM_PATH)) {
            exchange.startStream(head, EVENT.getBytes(StandardCharsets.UTF_8));
            exchange.end();
        } else {
            exchange.respond(head, EVENT.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void respond(FrontExchange exchange, int status, JsonNode body) {
        exchange.respond(new BasicHttpResponse(status), Json.write(body));
    }

    private static ObjectNode object(String name, JsonNode spec) {
        ObjectNode object = Json.newObject();
        object.putObject("meta").put("name", name).put("rev", 1);
        object.set("spec", spec);
        return object;
    }

    private JsonNode configuration() {
        ObjectNode configuration = Json.newObject().put("version", 1);
        ArrayNode routes = configuration.putArray("routes");
        routes.add(route(PLAIN_PATH, "unsafe", PLAIN_SERVICE));
        routes.add(route(STREAM_PATH, "stream", ENGINE_SERVICE));
        ArrayNode services = configuration.putArray("services");
        services.addObject().put("name", PLAIN_SERVICE);
        services.addObject().put("name", ENGINE_SERVICE).putObject("engine").put("slots", 1);
        ObjectNode team = configuration.putArray("tenants").addObject().put("name", "warm-up");
        team.putArray("api_keys").add(KEY);
        return configuration;
    }

    private ObjectNode route(String prefix, String type, String service) {
        ObjectNode route = Json.newObject();
        route.put("name", prefix).put("host", mCallerHost).put("prefix", prefix);
        route.put("type", type).put("service", service);
        return route;
    }

    private ObjectNode entry(String service, String role) {
        ObjectNode entry = Json.newObject();
        entry.put("service", service).put("addr", mServer.address().toString());
        entry.put("zone", "here").put("slots", 1).put("state", "ready");
        entry.put("phase", role).put("born", 1);
        return entry;
    }
}
