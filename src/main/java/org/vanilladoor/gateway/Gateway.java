package org.vanilladoor.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.ServingConfiguration;
import org.vanilladoor.route.TeamEntry;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.FrontExchange;

/**
 * Takes callers' requests and sees each to its one answer.
 *
 * <p>Invariants: a request is served only by the route and for the team that the configuration in
 * force allows; a keyed one only while that configuration is known to have been the newest lately.
 * Belongs to the control thread.
 */
public final class Gateway {
    /** How long the process looks for room for requests that wait, in milliseconds. */
    private static final Duration LINE_CHECK = Duration.ofMillis(25);

    /**
     * Age of a confirmation up to which a key is taken. A withdrawn key has to stop within five
     * seconds; a request may be on its way for part of one.
     */
    private static final long KEY_CONFIRMATION_MILLIS = 4_000;

    /**
     * Age of a confirmation up to which an unknown key or route is the caller's fault. A change has
     * to be in force within two seconds.
     */
    private static final long DENIAL_CONFIRMATION_MILLIS = 1_900;

    /** When a caller is to come back that met a gap of ours, in milliseconds. */
    private static final long GAP_RETRY_MILLIS = 300;

    private final GatewayContext mContext;
    private final Set<RequestProcess> mOpen = new HashSet<>();

    private Gateway(GatewayContext context) {
        mContext = context;
    }

    /**
     * Starts a gateway without requests.
     *
     * @param control the control thread
     * @param links connections to endpoints
     * @param wire how messages are spelled
     * @param state configuration in force
     * @param placement decides on endpoints
     * @param accounts what is counted, and the bound on repeats
     * @param random draws services by weight
     */
    public static Gateway start(
            ControlLoop control,
            ConnectionPool links,
            WireFormat wire,
            ServingState state,
            Placement placement,
            Accounting accounts,
            RandomGenerator random) {
        GatewayContext context =
                new GatewayContext(
                        control,
                        links,
                        wire,
                        state,
                        placement,
                        accounts.retries(),
                        WaitingLines.create(),
                        accounts.usage(),
                        accounts.work(),
                        accounts.metrics(),
                        random);
        Gateway gateway = new Gateway(context);
        control.repeat(LINE_CHECK, () -> context.lines().advanceAll(MonotonicClock.nowMillis()));
        return gateway;
    }

    /** Returns how many requests are open. */
    public int openRequests() {
        return mOpen.size();
    }

    /** Takes a request. */
    public void handle(FrontExchange exchange) {
        mContext.metrics().count("requests.arrived");
        if (exchange.isTooLarge()) {
            refuse(exchange, Refusal.TOO_LARGE, "-", "the body is larger than allowed");
            return;
        }
        CallerRequest request;
        try {
            request = mContext.wire().decodeRequest(exchange.request(), exchange.body());
        } catch (MalformedRequestException e) {
            refuse(exchange, Refusal.MALFORMED, "-", e.getMessage());
            return;
        }
        if (mContext.state().isRefusingRequests()) {
            refuse(exchange, Refusal.STOPPING, request.identifier(), "the process is to end");
            return;
        }
        Optional<ServingConfiguration> configuration = mContext.state().configuration();
        if (configuration.isEmpty()) {
            refuse(exchange, Refusal.NOT_CONFIRMED, request.identifier(), "no configuration yet");
            return;
        }
        route(exchange, request, configuration.get());
    }

    private void route(
            FrontExchange exchange, CallerRequest request, ServingConfiguration configuration) {
        long age = mContext.state().confirmationAgeMillis();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            deny(exchange, Refusal.UNKNOWN_ROUTE, request, age);
            return;
        }
        Optional<TeamEntry> team = Optional.empty();
        if (configuration.needsKey(route.get())) {
            team = configuration.team(request.key());
            if (team.isEmpty()) {
                deny(exchange, Refusal.UNKNOWN_KEY, request, age);
                return;
            }
            if (age > KEY_CONFIRMATION_MILLIS) {
                refuse(
                        exchange,
                        Refusal.NOT_CONFIRMED,
                        request.identifier(),
                        "keys were last confirmed " + age + " ms ago");
                return;
            }
        }
        RequestProcess process =
                RequestProcess.create(mContext, exchange, request, route.get(), team);
        mOpen.add(process);
        process.start(() -> mOpen.remove(process));
    }

    /** Refuses for good what is known to be wrong, and for now what may only be news. */
    private void deny(FrontExchange exchange, Refusal refusal, CallerRequest request, long age) {
        boolean certain = age <= DENIAL_CONFIRMATION_MILLIS;
        refuse(
                exchange,
                certain ? refusal : Refusal.NOT_CONFIRMED,
                request.identifier(),
                refusal + ", configuration confirmed " + age + " ms ago");
    }

    private void refuse(FrontExchange exchange, Refusal refusal, String identifier, String reason) {
        mContext.metrics().refused(refusal);
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
        RequestProcess.answer(mContext, exchange, refusal, GAP_RETRY_MILLIS);
    }

    /**
     * What a gateway counts.
     *
     * @param retries bounds repeats
     * @param usage counts requests that began to run
     * @param work hears of the work at endpoints
     * @param metrics counters and latencies
     */
    public record Accounting(
            LocalRetryBudgets retries,
            UsageSink usage,
            ServiceLoadSink work,
            GatewayMetrics metrics) {}
}
