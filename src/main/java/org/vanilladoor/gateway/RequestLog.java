package org.vanilladoor.gateway;

import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.fleet.CallCost;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.Route;

/**
 * Writes the structured log lines of one request.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier identifier of the request
 */
record RequestLog(String identifier) {
    private static final String PART = "gateway";
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);

    /**
     * Writes that a call is sent.
     *
     * @param number number of the request's calls, including this one
     * @param afterMillis time since the request arrived
     */
    void writeSent(EndpointCall call, int number, long afterMillis, CallCost cost) {
        EventLog.write(
                PART,
                "request.sent",
                "id",
                identifier,
                "stage",
                call.stage(),
                "endpoint",
                call.endpoint().name(),
                "version",
                call.endpoint().version(),
                "call",
                number,
                "after_ms",
                afterMillis,
                "expected_ms",
                Math.round(cost.expectedMillis()));
    }

    void writeRetriedElsewhere(Endpoint endpoint, String reason) {
        EventLog.write(
                PART,
                "request.elsewhere",
                "id",
                identifier,
                "endpoint",
                endpoint.name(),
                "reason",
                reason);
    }

    /**
     * Writes that a delivered run got no complete response.
     *
     * @param hasBegun whether the endpoint had sent the first event or a complete head and body
     * @param parts identifiers of the shared parts of the prompt
     */
    void writeRunBroken(Endpoint endpoint, boolean hasBegun, List<String> parts, String reason) {
        EventLog.write(
                PART,
                "run.broken",
                "id",
                identifier,
                "endpoint",
                endpoint.name(),
                "begun",
                hasBegun,
                "parts",
                EventLog.join(parts),
                "reason",
                reason);
    }

    /**
     * Writes what is known of the version that began the request's stream.
     *
     * @param stream identifier of the attempt that brought the first event, or an empty string
     * @param knowledge how it is known, or why it is not
     */
    void writeOrigin(String stream, Optional<String> version, StreamOrigin.Knowledge knowledge) {
        EventLog.write(
                PART,
                "stream.origin",
                "id",
                identifier,
                "stream",
                stream,
                "version",
                version.orElse(""),
                "known",
                knowledge);
    }

    /** Writes that the request waits until it is known whether its prompt crashes engines. */
    void writeInDoubt(List<String> parts) {
        EventLog.write(PART, "request.in_doubt", "id", identifier, "parts", EventLog.join(parts));
    }

    /** Writes that a step of the request failed in a way that no other code has handled. */
    void writeFailed(Throwable failure) {
        EventLog.write(PART, "request.failed", "id", identifier, "reason", failure);
        LOG.error("gateway: A step of the request {} failed.", identifier, failure);
    }

    void writeEnded(
            Route route, String outcome, AttemptBudget attempts, long tookMillis, String reason) {
        EventLog.write(
                PART,
                "request.ended",
                "id",
                identifier,
                "route",
                route.name(),
                "outcome",
                outcome,
                "calls",
                attempts.calls(),
                "undelivered",
                attempts.undeliveredCalls(),
                "retries",
                attempts.acquiredRetries(),
                "took_ms",
                tookMillis,
                "reason",
                reason);
    }
}
