package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalDouble;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.route.ServingConfiguration;

/**
 * Decodes the allowances of teams from the operator's configuration.
 *
 * <p>Zero means the same as an absent figure. A figure that is negative or no number is logged with
 * its place; the team then keeps the allowance that is in force. Immutable and safe for use by any
 * thread.
 */
final class AllowanceDecoder {
    private static final long DEFAULT_PLAIN_TOKENS = 200;

    /**
     * Seconds of the rate that make up the burst of a team whose entry states none. Less than the
     * tolerated excess of 0.1 of a window of 8 s, so that the bound holds if no burst is allowed.
     */
    private static final double DEFAULT_BURST_SECONDS = 0.5;

    private final JsonNode mConfiguration;
    private final Optional<ServingConfiguration> mInForce;

    private AllowanceDecoder(JsonNode configuration, Optional<ServingConfiguration> inForce) {
        mConfiguration = configuration;
        mInForce = inForce;
    }

    /**
     * Returns a decoder for the teams of a configuration.
     *
     * @param configuration the configuration object's {@code spec}
     * @param inForce the configuration whose allowances are kept in place of unreadable ones
     */
    static AllowanceDecoder of(JsonNode configuration, Optional<ServingConfiguration> inForce) {
        return new AllowanceDecoder(configuration, inForce);
    }

    /**
     * Returns the allowance of a team, or empty if it has no limit.
     *
     * @param index place of the team's entry in the list
     */
    Optional<Allowance> decode(JsonNode tenant, int index) {
        String place = "tenants[" + index + "].";
        try {
            return decodeFigures(tenant, place);
        } catch (UnreadableFigureException e) {
            String team = tenant.path("name").asText();
            Optional<Allowance> kept =
                    mInForce.flatMap(each -> Optional.ofNullable(each.allowances().get(team)));
            EventLog.write(
                    "configuration",
                    "allowance.unreadable",
                    "place",
                    e.mPlace,
                    "team",
                    team,
                    "reason",
                    e.getMessage(),
                    "kept",
                    kept.map(Allowance::toString).orElse("no limit"));
            return kept;
        }
    }

    private Optional<Allowance> decodeFigures(JsonNode tenant, String place) {
        OptionalDouble rate = figure(tenant, "rate_per_s", place);
        OptionalDouble burst = figure(tenant, "burst", place);
        AllowanceUnit unit = decodeUnit(tenant.path("unit"), place + "unit");
        long plainTokens = plainTokens(tenant, place);
        if (rate.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Allowance(
                        unit,
                        rate.getAsDouble(),
                        burst.orElse(rate.getAsDouble() * DEFAULT_BURST_SECONDS),
                        plainTokens));
    }

    private long plainTokens(JsonNode tenant, String place) {
        String key = "plain_tokens";
        OptionalDouble tokens = figure(tenant, key, place);
        if (tokens.isEmpty()) {
            tokens = figure(mConfiguration, key, "");
        }
        if (tokens.isEmpty()) {
            tokens = figure(mConfiguration.path("limits"), key, "limits.");
        }
        return tokens.isPresent() ? (long) Math.ceil(tokens.getAsDouble()) : DEFAULT_PLAIN_TOKENS;
    }

    private static AllowanceUnit decodeUnit(JsonNode unit, String place) {
        if (unit.isMissingNode() || unit.isNull()) {
            return AllowanceUnit.REQUESTS;
        }
        return switch (unit.asText()) {
            case "", "request", "requests" -> AllowanceUnit.REQUESTS;
            case "tokens" -> AllowanceUnit.TOKENS;
            default -> throw new UnreadableFigureException(place, "is no known unit: " + unit);
        };
    }

    /** Returns a positive figure, or empty if it is zero or absent. */
    private static OptionalDouble figure(JsonNode parent, String key, String place) {
        JsonNode value = parent.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return OptionalDouble.empty();
        }
        if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
            throw new UnreadableFigureException(place + key, "is not zero or more: " + value);
        }
        return value.asDouble() == 0 ? OptionalDouble.empty() : OptionalDouble.of(value.asDouble());
    }

    /** Reports that a figure is negative or of another kind. */
    private static final class UnreadableFigureException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final String mPlace;

        UnreadableFigureException(String place, String message) {
            super(message);
            mPlace = place;
        }
    }
}
