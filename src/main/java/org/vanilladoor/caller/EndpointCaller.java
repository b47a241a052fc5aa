package org.vanilladoor.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.http.HttpCallOut;
import org.vanilladoor.http.HttpLinks;
import org.vanilladoor.http.HttpReply;

/**
 * Sends calls to endpoints with the system's own credential.
 *
 * <p>Invariant: no header of a caller goes along but the ones named here, so no endpoint sees a
 * caller's key. Safe for use by any thread; calls block.
 */
public final class EndpointCaller {
    private static final String REQUEST_IDENTIFIER = "X-Request-Id";
    private final HttpLinks mLinks;
    private final String mCredential;

    private EndpointCaller(HttpLinks links, String credential) {
        mLinks = links;
        mCredential = credential;
    }

    static EndpointCaller create(HttpLinks links, String credential) {
        return new EndpointCaller(links, credential);
    }

    /**
     * Sends a call and checks that the answer is the one to it.
     *
     * @throws org.vanilladoor.http.NotHandedOverException if nothing was sent
     * @throws IOException if the endpoint may have received the call and gave no answer to it
     */
    HttpReply send(HostPort address, Call call, HttpCallOut request, Duration readTimeout)
            throws IOException {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.put("Authorization", "Bearer " + mCredential);
        headers.put(REQUEST_IDENTIFIER, call.identifier());
        headers.put("X-Priority", Integer.toString(call.workClass().kind().enginePriority()));
        headers.put("X-Cache-Scope", cacheScope(call.team()));
        HttpCallOut signed =
                new HttpCallOut(
                        request.method(),
                        request.target(),
                        headers,
                        request.contentType(),
                        request.body(),
                        request.repeatable());
        HttpReply reply = mLinks.send(address, signed, readTimeout);
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
