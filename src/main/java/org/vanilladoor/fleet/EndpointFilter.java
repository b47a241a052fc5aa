package org.vanilladoor.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The endpoints that may be chosen for the calls of one request.
 *
 * <p>Invariant: an excluded endpoint stays excluded; whether another one may run the request is
 * asked at each choice, so that this holds for endpoints that appear later too. Confined to the
 * control thread.
 */
public final class EndpointFilter {
    private final Set<String> mExcludedNames = new HashSet<>();
    private final Predicate<Endpoint> mMayRun;

    private EndpointFilter(Predicate<Endpoint> mayRun) {
        mMayRun = mayRun;
    }

    /** Returns a filter for all endpoints. */
    public static EndpointFilter all() {
        return new EndpointFilter(endpoint -> true);
    }

    /**
     * Returns a filter without excluded endpoints.
     *
     * @param mayRun whether an endpoint may run the request; any may prefill its prompt
     */
    public static EndpointFilter toRun(Predicate<Endpoint> mayRun) {
        return new EndpointFilter(mayRun);
    }

    /** Excludes the endpoint with a name from all calls. */
    public void exclude(String name) {
        mExcludedNames.add(name);
    }

    /** Returns whether an endpoint may do any work for the request. */
    boolean mayWork(Endpoint endpoint) {
        return !mExcludedNames.contains(endpoint.name());
    }

    /** Returns whether an endpoint may run the request. */
    boolean mayRun(Endpoint endpoint) {
        return mayWork(endpoint) && mMayRun.test(endpoint);
    }
}
