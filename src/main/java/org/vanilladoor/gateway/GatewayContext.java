package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.transport.ConnectionPool;

/**
 * What every request of a gateway works with.
 *
 * <p>Its parts belong to the control thread.
 *
 * @param control the control thread
 * @param links connections to endpoints
 * @param wire how messages are spelled
 * @param state configuration in force
 * @param placement decides on endpoints
 * @param retries bounds repeats
 * @param lines requests that wait
 * @param usage counts requests that began to run
 * @param work hears of the work at endpoints
 * @param metrics counters and latencies
 * @param random draws services by weight
 */
record GatewayContext(
        ControlLoop control,
        ConnectionPool links,
        WireFormat wire,
        ServingState state,
        Placement placement,
        LocalRetryBudgets retries,
        WaitingLines lines,
        UsageSink usage,
        ServiceLoadSink work,
        GatewayMetrics metrics,
        RandomGenerator random) {
    GatewayContext {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(wire, "wire");
    }
}
