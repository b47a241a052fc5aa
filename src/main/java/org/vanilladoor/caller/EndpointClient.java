package org.vanilladoor.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;

/**
 * Sends calls to endpoints with the system's own credential.
 *
 * <p>Invariant: only the headers of the given request and those set here are sent, and
 * Authorization always holds the system's credential, so no endpoint receives a caller's key. Safe
 * for use by any thread; calls block.
 */
public final class EndpointClient {
    private static final String REQUEST_IDENTIFIER_HEADER = "X-Request-Id";
    private final HttpConnectionPool mConnectionPool;
    private final String mCredential;

    private EndpointClient(HttpConnectionPool connectionPool, String credential) {
        mConnectionPool = connectionPool;
        mCredential = credential;
    }

    static EndpointClient create(HttpConnectionPool connectionPool, String credential) {
        return new EndpointClient(connectionPool, credential);
    }

    /**
     * Sends a call and checks that the response carries the call's identifier, if it carries any.
     *
     * @throws org.vanilladoor.http.NotSentException if nothing was sent
     * @throws IOException if the endpoint may have received the call and did not respond to it
     */
    HttpClientResponse send(
            HostPort address, Call call, HttpClientRequest request, Duration readTimeout)
            throws IOException {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.put("Authorization", "Bearer " + mCredential);
        headers.put(REQUEST_IDENTIFIER_HEADER, call.identifier());
        headers.put("X-Priority", Integer.toString(call.workClass().kind().enginePriority()));
        headers.put("X-Cache-Scope", cacheScope(call.team()));
        HttpClientRequest authorized =
                new HttpClientRequest(
                        request.method(),
                        request.target(),
                        headers,
                        request.contentType(),
                        request.body(),
                        request.retryable());
        HttpClientResponse response = mConnectionPool.send(address, authorized, readTimeout);
        String responseIdentifier =
                response.header(REQUEST_IDENTIFIER_HEADER).orElse(call.identifier());
        if (!responseIdentifier.equals(call.identifier())) {
            response.close();
            throw new IOException("response belongs to another request: " + responseIdentifier);
        }
        return response;
    }

    /** Returns the scope within which the prompts of a team may share cached prefixes. */
    static String cacheScope(String team) {
        return Digests.sha256("cache-scope:" + team);
    }
}
