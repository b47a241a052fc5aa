package org.vanilladoor.caller;

import org.vanilladoor.claim.ClaimLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.dispatch.Dispatcher;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.http.NotSentException;

/**
 * The components that all relays of calls share.
 *
 * <p>Immutable; the components may change state and are safe for use by any thread.
 *
 * @param dispatcher assigns calls to endpoints
 * @param endpoints sends calls to endpoints
 * @param openCalls calls that are being handled
 * @param observer receives the results of calls
 * @param claims decides which of the attempts with one idempotency key runs
 */
public record CallerContext(
        Dispatcher dispatcher,
        EndpointClient endpoints,
        OpenCalls openCalls,
        CallObserver observer,
        ClaimLog claims) {
    /**
     * Returns a context.
     *
     * @param connectionPool connections to endpoints, kept for reuse
     * @param systemCredential credential sent to endpoints
     */
    public static CallerContext create(
            Dispatcher dispatcher,
            HttpConnectionPool connectionPool,
            String systemCredential,
            OpenCalls openCalls,
            CallObserver observer,
            ClaimLog claims) {
        return new CallerContext(
                dispatcher,
                EndpointClient.create(connectionPool, systemCredential),
                openCalls,
                observer,
                claims);
    }

    /**
     * Returns the address of an endpoint.
     *
     * @throws NotSentException if the endpoint is no longer known
     */
    HostPort addressOf(String endpoint) throws NotSentException {
        return dispatcher
                .query(core -> core.endpoint(endpoint))
                .join()
                .map(EndpointView::description)
                .orElseThrow(() -> new NotSentException("endpoint is no longer known: " + endpoint))
                .hostPort();
    }
}
