package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/**
 * Decodes what an endpoint says of itself in the store.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class EndpointDecoder {
    private EndpointDecoder() {}

    /**
     * Returns the endpoint.
     *
     * @param name name of its entry
     * @param content what it says of itself
     * @throws IllegalArgumentException if the entry names no endpoint to use
     */
    static Endpoint decode(String name, JsonNode content) {
        String state = content.path("state").asText();
        if (!state.equals("ready") && !state.equals("draining")) {
            throw new IllegalArgumentException("its state is not known: " + state);
        }
        require(content.path("service").isTextual(), "service");
        require(content.path("addr").isTextual(), "addr");
        require(content.path("zone").isTextual(), "zone");
        require(content.path("slots").canConvertToInt(), "slots");
        return new Endpoint(
                name,
                content.path("service").asText(),
                HostPort.parse(content.path("addr").asText()),
                content.path("zone").asText(),
                content.path("slots").asInt(),
                state.equals("draining"),
                role(content.path("phase")),
                content.path("spot").asBoolean(false),
                // The wall time of the process's start, not of its entry's creation.
                content.path("born").asLong());
    }

    private static EngineRole role(JsonNode phase) {
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
