package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.RequestSizeLimits;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.RouteKind;
import org.vanilladoor.route.ServiceDefinition;
import org.vanilladoor.route.ServingConfiguration;

/**
 * Decodes the operator's configuration from the platform's JSON format.
 *
 * <p>A route that can't be decoded is skipped and logged; the other routes are kept. Stateless and
 * safe for use by any thread.
 */
final class ConfigurationDecoder {
    private static final Logger LOG = LogManager.getLogger(ConfigurationDecoder.class);
    private static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16_384;
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 500;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration.
     *
     * @param content the configuration object's {@code spec}
     * @param inForce the configuration whose allowances are kept in place of unreadable ones
     * @throws IllegalArgumentException if the configuration has no version
     */
    static ServingConfiguration decode(JsonNode content, Optional<ServingConfiguration> inForce) {
        if (!content.path("version").canConvertToLong()) {
            throw new IllegalArgumentException("configuration has no numeric version");
        }
        Map<String, AuthorizedTeam> teamsByKey = new HashMap<>();
        AllowanceDecoder allowances = AllowanceDecoder.of(content, inForce);
        int index = 0;
        for (JsonNode tenant : content.path("tenants")) {
            addTeam(tenant, allowances.decode(tenant, index), teamsByKey);
            index++;
        }
        List<Route> routes = new ArrayList<>();
        content.path("routes").forEach(route -> addRoute(route, routes));
        List<ServiceDefinition> services = new ArrayList<>();
        content.path("services").forEach(service -> services.add(decodeService(service)));
        JsonNode limits = content.path("limits");
        return ServingConfiguration.of(
                content.path("version").asLong(),
                routes,
                services,
                new RequestSizeLimits(
                        limits.path("max_header_bytes").asInt(DEFAULT_MAXIMUM_HEADER_BYTES),
                        limits.path("max_body_bytes").asInt(DEFAULT_MAXIMUM_BODY_BYTES)),
                teamsByKey,
                content.path("tenants").size() > 0);
    }

    private static void addTeam(
            JsonNode tenant,
            Optional<Allowance> allowance,
            Map<String, AuthorizedTeam> teamsByKey) {
        JsonNode rank = tenant.path("priority");
        AuthorizedTeam team =
                new AuthorizedTeam(
                        tenant.path("name").asText(),
                        rank.isNumber() ? OptionalInt.of(rank.asInt()) : OptionalInt.empty(),
                        allowance);
        tenant.path("api_keys").forEach(key -> teamsByKey.put(key.asText(), team));
    }

    private static void addRoute(JsonNode route, List<Route> routes) {
        try {
            routes.add(decodeRoute(route));
        } catch (IllegalArgumentException e) {
            LOG.warn(
                    "platform: Skipping invalid route {}: {}.",
                    route.path("name").asText(),
                    e.getMessage());
        }
    }

    private static Route decodeRoute(JsonNode route) {
        List<Route.WeightedService> services = new ArrayList<>();
        route.path("split")
                .forEach(
                        part ->
                                services.add(
                                        new Route.WeightedService(
                                                part.path("service").asText(),
                                                part.path("weight").asDouble())));
        if (services.isEmpty() && route.path("service").isTextual()) {
            services.add(new Route.WeightedService(route.path("service").asText(), 1));
        }
        if (services.isEmpty() || !route.path("prefix").isTextual()) {
            throw new IllegalArgumentException("service or prefix is missing");
        }
        return new Route(
                route.path("name").asText(),
                route.path("host").asText(),
                route.path("prefix").asText(),
                decodeKind(route.path("type").asText()),
                route.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MILLIS),
                // An objective: a response within this time has its full value. Not a time-out.
                route.path("slo_ms").asLong(DEFAULT_OBJECTIVE_MILLIS),
                route.path("gap_slo_ms").asLong(0),
                route.path("priority").asInt(0),
                services,
                Math.max(1, route.path("attempts").asInt(1)),
                route.path("public").asBoolean(false),
                route.path("sticky").asBoolean(false),
                route.path("resumable").asBoolean(false));
    }

    private static RouteKind decodeKind(String type) {
        return switch (type) {
            case "safe" -> RouteKind.IDEMPOTENT;
            case "unsafe" -> RouteKind.AT_MOST_ONCE;
            case "stream" -> RouteKind.STREAM;
            default -> throw new IllegalArgumentException("unknown type: " + type);
        };
    }

    private static ServiceDefinition decodeService(JsonNode service) {
        return new ServiceDefinition(
                service.path("name").asText(),
                service.path("max_conns").asInt(DEFAULT_MAXIMUM_CONNECTIONS),
                decodeEngine(service.path("engine")),
                decodeScaling(service.path("scaling")));
    }

    private static Optional<ServiceDefinition.EngineDefinition> decodeEngine(JsonNode engine) {
        if (!engine.isObject()) {
            return Optional.empty();
        }
        return Optional.of(
                new ServiceDefinition.EngineDefinition(
                        engine.path("slots").asInt(1),
                        engine.path("kv_tokens").asLong(),
                        toMillis(engine.path("switch_s"))));
    }

    private static Optional<ServiceDefinition.Scaling> decodeScaling(JsonNode scaling) {
        if (!scaling.isObject()) {
            return Optional.empty();
        }
        Map<String, Double> prices = new HashMap<>();
        scaling.path("zone_prices")
                .fields()
                .forEachRemaining(price -> prices.put(price.getKey(), price.getValue().asDouble()));
        return Optional.of(
                new ServiceDefinition.Scaling(
                        scaling.path("min").asInt(),
                        scaling.path("max").asInt(),
                        toMillis(scaling.path("boot_s")),
                        scaling.path("spot_price").asDouble(1),
                        prices));
    }

    private static long toMillis(JsonNode seconds) {
        return Math.round(seconds.asDouble() * MILLIS_PER_SECOND);
    }
}
