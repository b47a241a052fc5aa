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
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * Calls of our own to the platform and to endpoints, with JSON bodies.
 *
 * <p>Invariants: no call is repeated; one that is not answered in time ends as unavailable and its
 * connection is closed, since nothing further comes on it. Calls may be made by any thread; futures
 * complete on the control thread.
 */
final class PlatformCalls {
    private static final long CONNECT_MILLIS = 500;
    private final ControlLoop mControl;
    private final ConnectionPool mLinks;

    private PlatformCalls(ControlLoop control, ConnectionPool links) {
        mControl = control;
        mLinks = links;
    }

    static PlatformCalls create(ControlLoop control, ConnectionPool links) {
        return new PlatformCalls(control, links);
    }

    /**
     * Sends a request.
     *
     * @param answerMillis longest time for the answer
     */
    CompletableFuture<Reply> send(
            HostPort address, HttpRequest request, Optional<Object> body, long answerMillis) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        String name = request.getMethod() + " " + request.getRequestUri();
        if (!request.containsHeader(HttpHeaders.HOST)) {
            request.addHeader(HttpHeaders.HOST, address.toString());
        }
        body.ifPresent(present -> request.addHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
        byte[] bytes = body.map(Json::write).orElse(new byte[0]);
        mControl.execute(
                () -> {
                    Collector collector = new Collector(name, result);
                    OutgoingCall call =
                            mLinks.send(address, CONNECT_MILLIS, request, bytes, collector);
                    mControl.schedule(
                            Duration.ofMillis(answerMillis),
                            () -> {
                                if (!result.isDone()) {
                                    call.abandon();
                                    result.completeExceptionally(
                                            new StoreUnavailableException("no answer to " + name));
                                }
                            });
                });
        return result;
    }

    /**
     * An answer.
     *
     * @param call the call, for messages
     * @param status HTTP status
     * @param body content; an empty object if there was none
     */
    record Reply(String call, int status, JsonNode body) {
        /** Returns the content of a good answer. */
        JsonNode good() {
            if (status >= HttpStatus.SC_REDIRECTION) {
                throw new StoreUnavailableException(call + " was answered with " + status);
            }
            return body;
        }
    }

    /** Collects an answer; belongs to the control thread. */
    private static final class Collector implements OutgoingListener {
        private final String mCall;
        private final CompletableFuture<Reply> mResult;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        Collector(String call, CompletableFuture<Reply> result) {
            mCall = call;
            mResult = result;
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.getCode();
        }

        @Override
        public void onData(byte[] bytes) {
            mBody.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            mResult.complete(new Reply(mCall, mStatus, content()));
        }

        @Override
        public void onFailure(CallFailure failure) {
            mResult.completeExceptionally(
                    new StoreUnavailableException(mCall + ": " + failure.reason()));
        }

        private JsonNode content() {
            if (mBody.size() == 0) {
                return Json.newObject();
            }
            try {
                return Json.read(mBody.toByteArray(), JsonNode.class);
            } catch (UncheckedIOException e) {
                // Bodies of refusals may be plain text; who needs the content finds it missing.
                return JsonNodeFactory.instance.missingNode();
            }
        }
    }
}
