package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.hc.core5.net.InetAddressUtils;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;

/**
 * Decodes endpoints' entries in the store, and encodes and decodes engine roles.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class EndpointDecoder {
    private static final String ROLE_FIELD = "role";
    private static final String CHANGING_FIELD = "changing";
    private static final String START_FIELD = "born";
    private static final String VERSION_FIELD = "version";
    private static final char SPACE = ' ';
    private static final char DELETE_CHARACTER = 127;

    /** What is needed of an entry's {@code spec}, which the endpoint writes itself. */
    static final JsonSelection SPEC =
            scalars(
                    "service",
                    "addr",
                    "zone",
                    "slots",
                    "state",
                    "phase",
                    "spot",
                    START_FIELD,
                    VERSION_FIELD);

    /** What is needed of the announcement of an engine's role. */
    static final Set<String> ANNOUNCEMENT_FIELDS = Set.of(ROLE_FIELD, CHANGING_FIELD, START_FIELD);

    private EndpointDecoder() {}

    /** Returns the announcement of an engine's role, to be stored as the status of its entry. */
    static ObjectNode encodeRoleAnnouncement(Endpoint endpoint, EngineRole role, boolean changing) {
        ObjectNode announcement = Json.newObject();
        announcement.put(ROLE_FIELD, encodeRole(role));
        announcement.put(CHANGING_FIELD, changing);
        announcement.put(START_FIELD, endpoint.startMillis());
        return announcement;
    }

    /** Returns the platform's name for a role; the platform calls the role a phase. */
    static String encodeRole(EngineRole role) {
        return role == EngineRole.PREFILL ? "prefill" : "decode";
    }

    /**
     * Decodes an endpoint's entry.
     *
     * @param name name of the entry
     * @param spec the entry's {@code spec}, which the endpoint writes itself
     * @param announcement the entry's {@code status}, in which the holder of the fleet lease
     *     announces the engine's role; may be missing
     * @throws IllegalArgumentException if a field is missing or invalid
     */
    static Endpoint decode(String name, JsonNode spec, JsonNode announcement) {
        require(isHeaderValue(name), "name");
        require(spec.path("service").isTextual(), "service");
        require(!spec.path("service").asText().isEmpty(), "service");
        require(spec.path("zone").isTextual(), "zone");
        require(spec.path("addr").isTextual(), "addr");
        require(spec.path("slots").isIntegralNumber(), "slots");
        require(spec.path("slots").canConvertToInt(), "slots");
        require(spec.path("slots").asInt() > 0, "slots");
        JsonNode start = spec.path(START_FIELD);
        require(
                start.isMissingNode() || start.isIntegralNumber() && start.canConvertToLong(),
                START_FIELD);
        EngineRole ownRole = decodeRole(spec.path("phase"));
        boolean isLeaving = decodeLeaving(spec.path("state"));
        // An announcement made before the endpoint restarted does not apply any more.
        boolean isAnnouncementCurrent =
                announcement.isObject()
                        && announcement.path(START_FIELD).asLong() == start.asLong();
        return new Endpoint(
                name,
                spec.path("service").asText(),
                decodeAddress(spec.path("addr").asText()),
                spec.path("zone").asText(),
                spec.path("slots").asInt(),
                isLeaving,
                isAnnouncementCurrent
                        ? decodeAnnouncedRole(announcement.path(ROLE_FIELD), ownRole)
                        : ownRole,
                isAnnouncementCurrent && announcement.path(CHANGING_FIELD).asBoolean(false),
                spec.path("spot").asBoolean(false),
                // Wall time at which the process started, not at which its entry was created.
                start.asLong(),
                decodeVersion(spec.path(VERSION_FIELD)));
    }

    /** Decodes the version of an endpoint's software, which has no order and need not be there. */
    private static String decodeVersion(JsonNode version) {
        require(
                version.isMissingNode() || version.isTextual() || version.isNumber(),
                VERSION_FIELD);
        return version.asText();
    }

    private static boolean decodeLeaving(JsonNode state) {
        boolean isLeaving = state.isTextual() && state.asText().equals("draining");
        boolean isReady = state.isTextual() && state.asText().equals("ready");
        if (!isLeaving && !isReady) {
            throw new IllegalArgumentException("unknown state: " + state);
        }
        return isLeaving;
    }

    /** Decodes an address; a host name is refused, since resolving it would block the thread. */
    private static HostPort decodeAddress(String text) {
        HostPort address = HostPort.parse(text);
        boolean isNumeric =
                InetAddressUtils.isIPv4Address(address.host())
                        || InetAddressUtils.isIPv6Address(address.host());
        if (!isNumeric || address.port() == 0) {
            throw new IllegalArgumentException("address is not an IP address and port: " + text);
        }
        return address;
    }

    private static EngineRole decodeAnnouncedRole(JsonNode announced, EngineRole ownRole) {
        try {
            return decodeRole(announced);
        } catch (IllegalArgumentException e) {
            EventLog.write("endpoints", "announcement.unreadable", "reason", e.getMessage());
            return ownRole;
        }
    }

    /** Returns whether a name can be sent in a header as it is. */
    private static boolean isHeaderValue(String name) {
        return !name.isEmpty()
                && name.chars().allMatch(each -> each > SPACE && each < DELETE_CHARACTER);
    }

    /**
     * Decodes the platform's name for a role; an empty or missing name means {@link
     * EngineRole#MIXED}.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    static EngineRole decodeRole(JsonNode phase) {
        if (!phase.isMissingNode() && !phase.isNull() && !phase.isTextual()) {
            throw new IllegalArgumentException("unknown role: " + phase);
        }
        return switch (phase.asText("")) {
            case "" -> EngineRole.MIXED;
            case "prefill" -> EngineRole.PREFILL;
            case "decode" -> EngineRole.DECODE;
            default -> throw new IllegalArgumentException("unknown role: " + phase);
        };
    }

    private static JsonSelection scalars(String... names) {
        return JsonSelection.ofFields(
                Stream.of(names)
                        .collect(Collectors.toMap(name -> name, name -> JsonSelection.SCALAR)));
    }

    private static void require(boolean present, String field) {
        if (!present) {
            throw new IllegalArgumentException(
                    "field " + field + " is missing or has the wrong type");
        }
    }
}
