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
 * <p>Invariant: no header of a caller goes along but the ones named here, so no endpoint sees a
 * caller's key. Safe for use by any thread; calls block.
 */
public final class EndpointClient {
    private static final String REQUEST_IDENTIFIER = "X-Request-Id";
    private final HttpConnectionPool mLinks;
    private final String mCredential;

    private EndpointClient(HttpConnectionPool links, String credential) {
        mLinks = links;
        mCredential = credential;
    }

    static EndpointClient create(HttpConnectionPool links, String credential) {
        return new EndpointClient(links, credential);
    }

    /**
     * Sends a call and checks that the answer is the one to it.
     *
     * @throws org.vanilladoor.http.NotSentException if nothing was sent
     * @throws IOException if the endpoint may have received the call and gave no answer to it
     */
    HttpClientResponse send(
            HostPort address, Call call, HttpClientRequest request, Duration readTimeout)
            throws IOException {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.put("Authorization", "Bearer " + mCredential);
        headers.put(REQUEST_IDENTIFIER, call.identifier());
        headers.put("X-Priority", Integer.toString(call.workClass().kind().enginePriority()));
        headers.put("X-Cache-Scope", cacheScope(call.team()));
        HttpClientRequest signed =
                new HttpClientRequest(
                        request.method(),
                        request.target(),
                        headers,
                        request.contentType(),
                        request.body(),
                        request.retryable());
        HttpClientResponse reply = mLinks.send(address, signed, readTimeout);
        String answered = reply.header(REQUEST_IDENTIFIER).orElse(call.identifier());
        if (!answered.equals(call.identifier())) {
            reply.close();
            throw new IOException("answer belongs to another request: " + answered);
        }
        return reply;
    }

    /** Returns the scope within which prompts of a team may share cached prefixes. */
    static String cacheScope(String team) {
        return Digests.sha256("cache-scope:" + team);
    }
}
