package org.vanilladoor.route;

import java.util.List;
import java.util.Objects;

/**
 * The services for the requests of one host and path prefix, and the rules for serving them.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the route, given by the operator
 * @param host value of the Host header
 * @param prefix prefix of the path; begins and ends with a slash
 * @param kind whether a request may run more than once, and the form of its response
 * @param timeoutMillis maximum time that a caller waits for the response, in milliseconds
 * @param objectiveMillis objective for the time to the response or to its first event
 * @param eventGapMillis objective for the time between events, or 0 for none
 * @param rank urgency; lower numbers go first, 0 is the lowest
 * @param services services that serve the route, with their weights
 * @param maximumExecutions maximum number of endpoints on which one attempt of a caller may run
 * @param open whether requests need no key
 * @param prefixAffinity whether requests state the shared prefix of their prompts
 * @param resumable whether an interrupted stream may be resumed at another endpoint
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long eventGapMillis,
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

    /** Returns whether its responses are streams that may be taken up at another endpoint. */
    public boolean isResumableStream() {
        return kind.isStreaming() && resumable;
    }

    /**
     * Selects the service for one request, at random by weight.
     *
     * @param draw random number from 0 (inclusive) to 1 (exclusive)
     */
    public String service(double draw) {
        double totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
        double remainingWeight = draw * totalWeight;
        for (WeightedService service : services) {
            remainingWeight -= service.weight();
            if (remainingWeight < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /**
     * A service with its share of a route's requests.
     *
     * @param service name of the service
     * @param weight relative weight, in the same unit for all services of the route
     */
    public record WeightedService(String service, double weight) {}
}
