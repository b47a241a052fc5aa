package org.vanilladoor.gateway;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;

/**
 * How callers' requests and endpoints' answers are spelled.
 *
 * <p>Implementations hold no state and are safe for use by any thread.
 */
public interface WireFormat {
    /**
     * Returns what a caller asks for.
     *
     * @throws MalformedRequestException if the request is not valid
     */
    CallerRequest decodeRequest(HttpRequest request, byte[] body) throws MalformedRequestException;

    /**
     * Returns the head of an answer of our own.
     *
     * @param refusal why
     * @param retryAfterMillis when to come back; left out if the refusal does not allow it
     */
    HttpResponse encodeRefusal(Refusal refusal, long retryAfterMillis);

    /** Returns the head of an endpoint's answer as the caller gets it. */
    HttpResponse toCallerResponse(HttpResponse endpointHead);

    /** Returns the head of a call to an endpoint. */
    HttpRequest encodeCall(CallerRequest request, EndpointCall call);

    /** Returns what the head of an endpoint's answer says. */
    EndpointResponse decodeResponseHead(HttpResponse head);

    /**
     * Returns the handle in an endpoint's answer to {@link EndpointCall.Stage#READ_PROMPT}.
     *
     * @throws IllegalArgumentException if there is none
     */
    String decodeKvCacheHandle(byte[] body);

    /** Returns the request that frees memory which nobody will fetch. */
    HttpRequest encodeKvCacheRelease(KvCacheReference memory);
}
