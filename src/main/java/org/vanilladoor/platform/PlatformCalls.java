package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.ConnectionUse;
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * Makes this system's own calls to the platform and to endpoints, as opposed to calls that forward
 * a caller's request. Bodies are JSON.
 *
 * <p>Invariants: no call is retried; a call without a valid response in time fails with {@link
 * StoreUnavailableException}, and its connection is closed, since it can't be used for another
 * call. A response with the identifier of a caller's attempt is not valid: an endpoint may send the
 * response to a forwarded request again, when this system has since reused the connection. Methods
 * may be called by any thread; futures complete on the control thread.
 */
final class PlatformCalls {
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum size of a response; a page of objects has about 1 MB. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Maximum number of characters of a response that a message contains. */
    private static final int MAXIMUM_QUOTED_CHARACTERS = 200;

    private final ControlLoop mControl;
    private final ConnectionPool mConnections;

    private PlatformCalls(ControlLoop control, ConnectionPool connections) {
        mControl = control;
        mConnections = connections;
    }

    static PlatformCalls create(ControlLoop control, ConnectionPool connections) {
        return new PlatformCalls(control, connections);
    }

    /**
     * Sends a request.
     *
     * @param address address of the peer
     * @param use connections that may carry the call
     * @param body content to be sent as JSON, if any
     * @param timeoutMillis time-out for the complete response, including connecting
     */
    CompletableFuture<Response> send(
            HostPort address,
            ConnectionUse use,
            HttpRequest request,
            Optional<Object> body,
            long timeoutMillis) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        String description = request.getMethod() + " " + request.getRequestUri();
        if (!request.containsHeader(HttpHeaders.HOST)) {
            request.addHeader(HttpHeaders.HOST, address.toString());
        }
        body.ifPresent(content -> request.addHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
        byte[] bodyBytes = body.map(Json::write).orElse(new byte[0]);
        mControl.execute(
                () -> {
                    ResponseCollector collector = new ResponseCollector(description, result);
                    OutgoingCall call =
                            mConnections.send(
                                    address,
                                    use,
                                    CONNECT_TIMEOUT_MILLIS,
                                    request,
                                    bodyBytes,
                                    collector);
                    collector.mCall = call;
                    mControl.schedule(
                            Duration.ofMillis(timeoutMillis),
                            () -> {
                                if (!result.isDone()) {
                                    call.abandon();
                                    result.completeExceptionally(
                                            new StoreUnavailableException(
                                                    "no response to " + description));
                                }
                            });
                });
        return result;
    }

    /**
     * A complete response.
     *
     * @param description method and path of the call, for messages
     * @param status HTTP status
     * @param body decoded body; an empty object if the response had none, a missing node if it was
     *     not JSON
     */
    record Response(String description, int status, JsonNode body) {
        /**
         * Returns the body of a successful response.
         *
         * @throws StoreUnavailableException if the status is 300 or above
         */
        JsonNode requireSuccess() {
            if (status >= HttpStatus.SC_REDIRECTION) {
                String text = body.toString();
                String quoted =
                        text.substring(0, Math.min(text.length(), MAXIMUM_QUOTED_CHARACTERS));
                throw new StoreUnavailableException(
                        description + " failed with status " + status + " " + quoted);
            }
            return body;
        }
    }

    /** Collects a response. Confined to the control thread. */
    private static final class ResponseCollector implements OutgoingListener {
        private final String mDescription;
        private final CompletableFuture<Response> mResult;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private OutgoingCall mCall;
        private int mStatus;

        ResponseCollector(String description, CompletableFuture<Response> result) {
            mDescription = description;
            mResult = result;
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.getCode();
            if (head.containsHeader(Headers.ATTEMPT_IDENTIFIER)) {
                reject("the response belongs to a caller's request");
            }
        }

        @Override
        public void onData(byte[] bytes) {
            mBody.writeBytes(bytes);
            if (mBody.size() > MAXIMUM_RESPONSE_BYTES) {
                reject("the response is larger than " + MAXIMUM_RESPONSE_BYTES + " bytes");
            }
        }

        private void reject(String reason) {
            mCall.abandon();
            mResult.completeExceptionally(
                    new StoreUnavailableException(mDescription + ": " + reason));
        }

        @Override
        public void onComplete() {
            mResult.complete(new Response(mDescription, mStatus, decodeBody()));
        }

        @Override
        public void onFailure(CallFailure failure) {
            mResult.completeExceptionally(
                    new StoreUnavailableException(mDescription + ": " + failure.reason()));
        }

        private JsonNode decodeBody() {
            if (mBody.size() == 0) {
                return Json.newObject();
            }
            try {
                return Json.read(mBody.toByteArray(), JsonNode.class);
            } catch (UncheckedIOException e) {
                // The bodies of error responses may be plain text.
                return JsonNodeFactory.instance.missingNode();
            }
        }
    }
}
