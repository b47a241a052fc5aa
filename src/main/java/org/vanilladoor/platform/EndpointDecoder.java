package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/**
 * Decodes what an endpoint says of itself in the store.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class EndpointDecoder {
    private static final String ROLE = "role";
    private static final String CHANGING = "changing";
    private static final String BORN = "born";

    private EndpointDecoder() {}

    /** Returns the announcement of an engine's role, as {@link #decode} takes it. */
    static ObjectNode announcement(Endpoint endpoint, EngineRole role, boolean changing) {
        ObjectNode announced = Json.newObject();
        announced.put(ROLE, phase(role));
        announced.put(CHANGING, changing);
        announced.put(BORN, endpoint.startMillis());
        return announced;
    }

    /** Returns the platform's word for a role. */
    static String phase(EngineRole role) {
        return role == EngineRole.PREFILL ? "prefill" : "decode";
    }

    /**
     * Returns the endpoint.
     *
     * @param name name of its entry
     * @param content what it says of itself
     * @param announced what the holder of the fleet's lease says of it; may be missing
     * @throws IllegalArgumentException if the entry names no endpoint to use
     */
    static Endpoint decode(String name, JsonNode content, JsonNode announced) {
        String state = content.path("state").asText();
        if (!state.equals("ready") && !state.equals("draining")) {
            throw new IllegalArgumentException("its state is not known: " + state);
        }
        require(content.path("service").isTextual(), "service");
        require(content.path("addr").isTextual(), "addr");
        require(content.path("zone").isTextual(), "zone");
        require(content.path("slots").canConvertToInt(), "slots");
        // An announcement for an earlier start of the endpoint says nothing of this one.
        boolean current =
                announced.isObject()
                        && announced.path(BORN).asLong() == content.path(BORN).asLong();
        return new Endpoint(
                name,
                content.path("service").asText(),
                HostPort.parse(content.path("addr").asText()),
                content.path("zone").asText(),
                content.path("slots").asInt(),
                state.equals("draining"),
                current ? role(announced.path(ROLE)) : role(content.path("phase")),
                current && announced.path(CHANGING).asBoolean(false),
                content.path("spot").asBoolean(false),
                // The wall time of the process's start, not of its entry's creation.
                content.path(BORN).asLong());
    }

    static EngineRole role(JsonNode phase) {
        return switch (phase.asText()) {
            case "" -> EngineRole.MIXED;
            case "prefill" -> EngineRole.PREFILL;
            case "decode" -> EngineRole.DECODE;
            default -> throw new IllegalArgumentException("its role is not known: " + phase);
        };
    }

    private static void require(boolean present, String field) {
        if (!present) {
            throw new IllegalArgumentException("its " + field + " is missing or of another type");
        }
    }
}
