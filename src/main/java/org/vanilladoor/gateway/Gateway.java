package org.vanilladoor.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.quarantine.PromptGuard;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.transport.BodyRejection;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.FrontExchange;

/**
 * Authenticates and routes callers' requests and starts their execution.
 *
 * <p>Invariants: each request gets at most one response. A request is served only by the route and
 * for the team that the configuration in force allows; a request with an API key only while the
 * store has confirmed that configuration as the newest within the last {@value
 * #MAXIMUM_KEY_CONFIRMATION_AGE_MILLIS} ms. Confined to the control thread.
 */
public final class Gateway {
    /** Interval between attempts to dispatch requests that wait. */
    private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(25);

    /**
     * Maximum age of the configuration's confirmation at which an API key is accepted. A withdrawn
     * key must stop working within 5 s; the rest is for requests in transit.
     */
    private static final long MAXIMUM_KEY_CONFIRMATION_AGE_MILLIS = 4_000;

    /**
     * Maximum age of the configuration's confirmation at which an unknown key or route is reported
     * as the caller's error. A configuration change must be in force within 2 s.
     */
    private static final long MAXIMUM_DENIAL_CONFIRMATION_AGE_MILLIS = 1_900;

    /** Retry-After of a temporary refusal that is not due to load. */
    private static final long TEMPORARY_REFUSAL_RETRY_AFTER_MILLIS = 300;

    private final GatewayContext mContext;
    private final Set<RequestExecution> mOpenRequests = new HashSet<>();

    private Gateway(GatewayContext context) {
        mContext = context;
    }

    /**
     * Starts a gateway that has no requests.
     *
     * @param control the loop that runs all work on the control thread
     * @param connections connection pool for calls to endpoints
     * @param wireFormat encodes and decodes the platform's messages
     * @param state configuration in force and shutdown state
     * @param dispatch the components that decide where a request may run
     * @param accounting retry budgets, allowances, usage, load, memory and metrics
     * @param random source for the weighted choice of a service
     */
    public static Gateway start(
            ControlLoop control,
            ConnectionPool connections,
            WireFormat wireFormat,
            ServingState state,
            Dispatch dispatch,
            Accounting accounting,
            RandomGenerator random) {
        GatewayContext context =
                new GatewayContext(
                        control,
                        accounting.memory(),
                        connections,
                        CallHistory.create(),
                        wireFormat,
                        state,
                        dispatch.placement(),
                        accounting.retryBudgets(),
                        accounting.allowances(),
                        dispatch.promptGuard(),
                        dispatch.streamOrigins(),
                        WaitQueues.create(),
                        accounting.usage(),
                        accounting.load(),
                        accounting.metrics(),
                        random);
        Gateway gateway = new Gateway(context);
        control.scheduleWithFixedDelay(
                QUEUE_CHECK_INTERVAL,
                () -> {
                    long nowMillis = MonotonicClock.nowMillis();
                    context.waitQueues().advanceAll(nowMillis);
                    context.promptGuard().tick(nowMillis);
                });
        return gateway;
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        return mOpenRequests.size();
    }

    /** Ends all requests in progress, since the process is about to end. */
    public void endOpenRequests() {
        List.copyOf(mOpenRequests).stream()
                .filter(request -> !request.isDone())
                .forEach(RequestExecution::endBeforeStop);
    }

    /** Handles a request whose body has been received, or could not be kept. */
    public void handle(FrontExchange exchange) {
        mContext.metrics().count("requests.arrived");
        if (exchange.bodyRejection().isPresent()) {
            refuseWithoutBody(exchange, exchange.bodyRejection().get());
            return;
        }
        CallerRequest request;
        try {
            request = mContext.wireFormat().decodeRequest(exchange.request(), exchange.body());
        } catch (MalformedRequestException e) {
            refuse(exchange, Refusal.MALFORMED, "-", e.getMessage());
            return;
        }
        if (mContext.state().isRefusingRequests()) {
            refuse(exchange, Refusal.STOPPING, request.identifier(), "the process is stopping");
            return;
        }
        Optional<ServingConfiguration> configuration = mContext.state().configuration();
        if (configuration.isEmpty()) {
            refuse(
                    exchange,
                    Refusal.NOT_CONFIRMED,
                    request.identifier(),
                    "no configuration received yet");
            return;
        }
        route(exchange, request, configuration.get());
    }

    private void refuseWithoutBody(FrontExchange exchange, BodyRejection rejection) {
        switch (rejection) {
            case TOO_LARGE ->
                    refuse(exchange, Refusal.TOO_LARGE, "-", "the body is larger than allowed");
            case NO_MEMORY ->
                    refuse(exchange, Refusal.NO_MEMORY, "-", "there is no memory for the body");
        }
    }

    private void route(
            FrontExchange exchange, CallerRequest request, ServingConfiguration configuration) {
        long ageMillis = mContext.state().confirmationAgeMillis();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            refuseUnknown(exchange, Refusal.UNKNOWN_ROUTE, request, ageMillis);
            return;
        }
        Optional<AuthorizedTeam> team = Optional.empty();
        if (configuration.needsKey(route.get())) {
            team = configuration.team(request.key());
            if (team.isEmpty()) {
                refuseUnknown(exchange, Refusal.UNKNOWN_KEY, request, ageMillis);
                return;
            }
            if (ageMillis > MAXIMUM_KEY_CONFIRMATION_AGE_MILLIS) {
                refuse(
                        exchange,
                        Refusal.NOT_CONFIRMED,
                        request.identifier(),
                        "the configuration with the keys was last confirmed "
                                + ageMillis
                                + " ms ago");
                return;
            }
        }
        RequestExecution execution =
                new RequestExecution(mContext, exchange, request, route.get(), team);
        mOpenRequests.add(execution);
        execution.start(() -> mOpenRequests.remove(execution));
    }

    /**
     * Refuses a request with an unknown key or route: permanently if the configuration was
     * confirmed recently, otherwise temporarily, since a newer configuration may know it.
     */
    private void refuseUnknown(
            FrontExchange exchange, Refusal refusal, CallerRequest request, long ageMillis) {
        boolean isCertain = ageMillis <= MAXIMUM_DENIAL_CONFIRMATION_AGE_MILLIS;
        refuse(
                exchange,
                isCertain ? refusal : Refusal.NOT_CONFIRMED,
                request.identifier(),
                refusal + ", configuration confirmed " + ageMillis + " ms ago");
    }

    private void refuse(FrontExchange exchange, Refusal refusal, String identifier, String reason) {
        EventLog.write(
                "gateway",
                "request.refused",
                "id",
                identifier,
                "refusal",
                refusal,
                "version",
                mContext.state().configuration().map(ServingConfiguration::version).orElse(0L),
                "reason",
                reason);
        CallerResponse.to(mContext, exchange).refuse(refusal, TEMPORARY_REFUSAL_RETRY_AFTER_MILLIS);
    }

    /**
     * The components that decide where a gateway's requests may run.
     *
     * @param placement selects the endpoint of each call
     * @param promptGuard keeps prompts that crash engines away from them
     * @param streamOrigins the versions that began streams
     */
    public record Dispatch(
            Placement placement, PromptGuard promptGuard, StreamOrigins streamOrigins) {}

    /**
     * The components that account for a gateway's requests.
     *
     * @param retryBudgets limits retries
     * @param allowances keeps teams within their allowances
     * @param usage counts the requests that started to run
     * @param load receives changes of the number of prefills and running requests
     * @param memory the memory that responses take while they are incomplete
     * @param metrics counters and latencies
     */
    public record Accounting(
            LocalRetryBudgets retryBudgets,
            AllowanceControl allowances,
            UsageSink usage,
            ServiceLoadSink load,
            MemoryBudget memory,
            GatewayMetrics metrics) {}
}
