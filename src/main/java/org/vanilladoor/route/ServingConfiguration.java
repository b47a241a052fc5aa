package org.vanilladoor.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.allowance.Allowance;

/**
 * One version of the operator's serving configuration.
 *
 * <p>Invariant: the routes of a host are ordered by decreasing length of their prefix. Immutable
 * and safe for use by any thread.
 */
public final class ServingConfiguration {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, ServiceDefinition> mServices;
    private final RequestSizeLimits mLimits;
    private final Map<String, AuthorizedTeam> mTeamsByKey;
    private final Map<String, Allowance> mAllowances;
    private final boolean mHasTeams;

    private ServingConfiguration(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceDefinition> services,
            RequestSizeLimits limits,
            Map<String, AuthorizedTeam> teamsByKey,
            boolean hasTeams) {
        mVersion = version;
        mRoutesByHost = routesByHost;
        mServices = services;
        mLimits = limits;
        mTeamsByKey = teamsByKey;
        mAllowances = allowancesOf(teamsByKey.values());
        mHasTeams = hasTeams;
    }

    /**
     * Returns a configuration.
     *
     * @param version version number, which increases with each change
     * @param routes all routes
     * @param services all services
     * @param limits size limits of requests
     * @param teamsByKey teams by key
     * @param hasTeams whether routes that are not open need a key
     */
    public static ServingConfiguration of(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            RequestSizeLimits limits,
            Map<String, AuthorizedTeam> teamsByKey,
            boolean hasTeams) {
        Map<String, List<Route>> routesByHost = new HashMap<>();
        routes.forEach(
                route ->
                        routesByHost
                                .computeIfAbsent(route.host(), host -> new ArrayList<>())
                                .add(route));
        routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(LONGEST_PREFIX_FIRST));
        Map<String, ServiceDefinition> servicesByName = new HashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        return new ServingConfiguration(
                version, routesByHost, servicesByName, limits, Map.copyOf(teamsByKey), hasTeams);
    }

    /** Of several entries with the same team, which the format does not exclude, any one counts. */
    private static Map<String, Allowance> allowancesOf(Collection<AuthorizedTeam> teams) {
        Map<String, Allowance> allowances = new HashMap<>();
        teams.forEach(
                team ->
                        team.allowance()
                                .ifPresent(allowance -> allowances.put(team.name(), allowance)));
        return Map.copyOf(allowances);
    }

    /** Returns the version number. */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the route of the host with the longest prefix of the path, or empty if there is none.
     */
    public Optional<Route> route(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /** Returns the service with the given name, or empty if it is not defined. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all services by name. */
    public Map<String, ServiceDefinition> services() {
        return Map.copyOf(mServices);
    }

    /** Returns the size limits of requests. */
    public RequestSizeLimits limits() {
        return mLimits;
    }

    /** Returns whether a request on the route needs a key. */
    public boolean needsKey(Route route) {
        return mHasTeams && !route.open();
    }

    /** Returns the team to which a key belongs, or empty if the key is unknown. */
    public Optional<AuthorizedTeam> team(String key) {
        return Optional.ofNullable(mTeamsByKey.get(key));
    }

    /** Returns the allowances of the teams that have one, by the name of the team. */
    public Map<String, Allowance> allowances() {
        return mAllowances;
    }
}
