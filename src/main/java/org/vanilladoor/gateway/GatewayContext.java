package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.quarantine.PromptGuard;
import org.vanilladoor.transport.ConnectionPool;

/**
 * The dependencies shared by all requests of a gateway.
 *
 * <p>The components are confined to the control thread.
 *
 * @param control the loop that runs all work on the control thread
 * @param memory the memory that responses take while they are incomplete
 * @param connections connection pool for calls to endpoints
 * @param callHistory tells which calls need a connection of their own
 * @param wireFormat encodes and decodes the platform's messages
 * @param state configuration in force and shutdown state
 * @param placement selects the endpoint of each call
 * @param retryBudgets limits retries
 * @param allowances keeps teams within their allowances
 * @param promptGuard keeps prompts that crash engines away from them
 * @param streamOrigins the versions that began streams
 * @param waitQueues requests that wait for an engine, by service
 * @param usage counts the requests that started to run
 * @param load receives changes of the number of prefills and running requests
 * @param metrics counters and latencies
 * @param random source for the weighted choice of a service
 */
record GatewayContext(
        ControlLoop control,
        MemoryBudget memory,
        ConnectionPool connections,
        CallHistory callHistory,
        WireFormat wireFormat,
        ServingState state,
        Placement placement,
        LocalRetryBudgets retryBudgets,
        AllowanceControl allowances,
        PromptGuard promptGuard,
        StreamOrigins streamOrigins,
        WaitQueues waitQueues,
        UsageSink usage,
        ServiceLoadSink load,
        GatewayMetrics metrics,
        RandomGenerator random) {
    GatewayContext {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(wireFormat, "wireFormat");
    }
}
