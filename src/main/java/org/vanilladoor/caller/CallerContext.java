package org.vanilladoor.caller;

import java.io.IOException;
import org.vanilladoor.claim.ClaimLog;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.dispatch.DispatchGateway;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.http.HttpLinks;

/**
 * What the relays of calls share.
 *
 * <p>Immutable apart from its parts, which are safe for use by any thread.
 *
 * @param gateway brings calls to the decisions
 * @param endpoints sends calls to endpoints
 * @param openCalls calls that are open
 * @param observer learns how calls went
 * @param claims settles which attempt at a call runs
 */
public record CallerContext(
        DispatchGateway gateway,
        EndpointCaller endpoints,
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
            DispatchGateway gateway,
            HttpLinks links,
            String systemCredential,
            OpenCalls openCalls,
            CallObserver observer,
            ClaimLog claims) {
        return new CallerContext(
                gateway,
                EndpointCaller.create(links, systemCredential),
                openCalls,
                observer,
                claims);
    }

    /**
     * Returns the address of an endpoint.
     *
     * @throws IOException if the endpoint is no longer known
     */
    HostPort addressOf(String endpoint) throws IOException {
        return gateway.query(core -> core.endpoint(endpoint))
                .join()
                .map(EndpointView::description)
                .orElseThrow(() -> new IOException("endpoint is gone: " + endpoint))
                .hostPort();
    }
}
