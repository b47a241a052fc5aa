package org.vanilladoor.caller;

import org.vanilladoor.claim.ClaimLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.dispatch.Dispatcher;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.http.NotSentException;

/**
 * What the relays of calls share.
 *
 * <p>Immutable apart from its parts, which are safe for use by any thread.
 *
 * @param dispatcher brings calls to the decisions
 * @param endpoints sends calls to endpoints
 * @param openCalls calls that are open
 * @param observer learns how calls went
 * @param claims settles which attempt at a call runs
 */
public record CallerContext(
        Dispatcher dispatcher,
        EndpointClient endpoints,
        OpenCalls openCalls,
        CallObserver observer,
        ClaimLog claims) {
    /**
     * Returns what relays share.
     *
     * @param links connections to endpoints
     * @param systemCredential credential shown to endpoints
     */
    public static CallerContext create(
            Dispatcher dispatcher,
            HttpConnectionPool links,
            String systemCredential,
            OpenCalls openCalls,
            CallObserver observer,
            ClaimLog claims) {
        return new CallerContext(
                dispatcher,
                EndpointClient.create(links, systemCredential),
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
                .orElseThrow(() -> new NotSentException("endpoint is gone: " + endpoint))
                .hostPort();
    }
}
