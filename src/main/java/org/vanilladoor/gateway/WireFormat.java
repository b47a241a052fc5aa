package org.vanilladoor.gateway;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Encodes and decodes the messages exchanged with callers and endpoints.
 *
 * <p>Implementations hold no state and are safe for use by any thread.
 */
public interface WireFormat {
    /**
     * Decodes a request of a caller.
     *
     * @throws MalformedRequestException if the request is not valid
     */
    CallerRequest decodeRequest(HttpRequest request, byte[] body) throws MalformedRequestException;

    /**
     * Encodes the response head of a refusal.
     *
     * @param refusal reason, which determines the status
     * @param retryAfterMillis value of Retry-After; omitted if the refusal is not retryable
     */
    HttpResponse encodeRefusal(Refusal refusal, long retryAfterMillis);

    /** Returns the response head that is sent to the caller for an endpoint's response head. */
    HttpResponse toCallerResponse(HttpResponse endpointHead);

    /** Encodes the request head of a call to an endpoint. */
    HttpRequest encodeCall(CallerRequest request, EndpointCall call);

    /** Decodes the head of an endpoint's response and checks whether it contradicts itself. */
    EndpointResponse decodeResponseHead(HttpResponse head);

    /**
     * Decodes the KV cache handle in an endpoint's response to {@link
     * EndpointCall.Stage#READ_PROMPT}.
     *
     * @throws IllegalArgumentException if the body contains no handle
     */
    String decodeKvCacheHandle(byte[] body);

    /** Encodes the request that releases a KV cache which will not be fetched. */
    HttpRequest encodeKvCacheRelease(KvCacheReference kvCache);
}
