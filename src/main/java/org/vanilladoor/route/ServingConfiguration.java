package org.vanilladoor.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of what the operator wants served.
 *
 * <p>Invariant: the routes of a host are ordered by falling length of their prefix. Immutable and
 * safe for use by any thread.
 */
public final class ServingConfiguration {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesOfHost;
    private final Map<String, ServiceDefinition> mServices;
    private final RequestSizeLimits mLimits;
    private final Map<String, AuthorizedTeam> mTeamOfKey;
    private final boolean mHasTeams;

    private ServingConfiguration(
            long version,
            Map<String, List<Route>> routesOfHost,
            Map<String, ServiceDefinition> services,
            RequestSizeLimits limits,
            Map<String, AuthorizedTeam> teamOfKey,
            boolean hasTeams) {
        mVersion = version;
        mRoutesOfHost = routesOfHost;
        mServices = services;
        mLimits = limits;
        mTeamOfKey = teamOfKey;
        mHasTeams = hasTeams;
    }

    /**
     * Returns a configuration.
     *
     * @param version version; grows with each change
     * @param routes all routes
     * @param services all services
     * @param limits what callers may send
     * @param teamOfKey team by key
     * @param hasTeams whether routes that are not open need a key
     */
    public static ServingConfiguration of(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            RequestSizeLimits limits,
            Map<String, AuthorizedTeam> teamOfKey,
            boolean hasTeams) {
        Map<String, List<Route>> routesOfHost = new HashMap<>();
        routes.forEach(
                route ->
                        routesOfHost
                                .computeIfAbsent(route.host(), host -> new ArrayList<>())
                                .add(route));
        routesOfHost.values().forEach(each -> each.sort(LONGEST_PREFIX_FIRST));
        Map<String, ServiceDefinition> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new ServingConfiguration(
                version, routesOfHost, byName, limits, Map.copyOf(teamOfKey), hasTeams);
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the route with the longest prefix that begins the path. */
    public Optional<Route> route(String host, String path) {
        return mRoutesOfHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /** Returns a service. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all services by name. */
    public Map<String, ServiceDefinition> services() {
        return Map.copyOf(mServices);
    }

    /** Returns what callers may send. */
    public RequestSizeLimits limits() {
        return mLimits;
    }

    /** Returns whether a request on the route needs a key. */
    public boolean needsKey(Route route) {
        return mHasTeams && !route.open();
    }

    /** Returns the team that holds a key. */
    public Optional<AuthorizedTeam> team(String key) {
        return Optional.ofNullable(mTeamOfKey.get(key));
    }
}
