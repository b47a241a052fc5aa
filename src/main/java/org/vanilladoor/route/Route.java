package org.vanilladoor.route;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path prefix go, and how they are served.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name given by the operator
 * @param host value of the Host header
 * @param prefix start of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param objectiveMillis time within which an answer, or its first event, is on time
 * @param pauseMillis longest pause between events that is on time, or 0
 * @param rank urgency; 0 goes first
 * @param services services that serve it, by weight
 * @param maximumExecutions most endpoints that one attempt of a caller may run on
 * @param open whether it needs no key
 * @param prefixAffinity whether requests name the shared parts of their prompts
 * @param resumable whether a broken stream may go on at another endpoint
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long pauseMillis,
        int rank,
        List<WeightedService> services,
        int maximumExecutions,
        boolean open,
        boolean prefixAffinity,
        boolean resumable) {
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
    }

    /** Returns whether a request that may have run may be sent again. */
    public boolean allowsRetryAfterExecution() {
        return kind.allowsRetryAfterExecution(resumable);
    }

    /**
     * Returns the service of one request.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive)
     */
    public String service(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /**
     * A service with its share of a route's requests.
     *
     * @param service name of the service
     * @param weight share, in any unit that all services of the route have in common
     */
    public record WeightedService(String service, double weight) {}
}
