package org.vanilladoor.order;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.http.NotSentException;

/**
 * Sends orders to endpoints over HTTP, each on its own connection.
 *
 * <p>Safe for use by any thread.
 */
public final class HttpOrderSender implements OrderSender {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAXIMUM_RESPONSE_BYTES = 65_536;
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private final HttpConnectionPool mConnections;
    private final Executor mExecutor;
    private final String mCredential;
    private final Function<String, HostPort> mAddressOfEndpoint;

    private HttpOrderSender(
            HttpConnectionPool connections,
            Executor executor,
            String credential,
            Function<String, HostPort> addressOfEndpoint) {
        mConnections = connections;
        mExecutor = executor;
        mCredential = credential;
        mAddressOfEndpoint = addressOfEndpoint;
    }

    /**
     * Returns a sender that uses the given connections, executor and credential.
     *
     * @param addressOfEndpoint returns an endpoint's address, or null if unknown; called by the
     *     given executor
     */
    public static HttpOrderSender create(
            HttpConnectionPool connections,
            Executor executor,
            String credential,
            Function<String, HostPort> addressOfEndpoint) {
        return new HttpOrderSender(connections, executor, credential, addressOfEndpoint);
    }

    @Override
    public CompletableFuture<Result> send(OpenOrder order) {
        return CompletableFuture.supplyAsync(() -> sendAndWait(order), mExecutor);
    }

    private Result sendAndWait(OpenOrder order) {
        ObjectNode body = Json.newObject();
        body.put("identifier", order.identifier());
        body.put("term", order.term());
        body.put("sender", order.writer());
        body.put("role", order.content());
        HttpClientRequest request =
                HttpClientRequest.postOnce("/orders", Json.write(body))
                        .withHeader("Authorization", "Bearer " + mCredential);
        HostPort address = mAddressOfEndpoint.apply(order.target());
        if (address == null) {
            return Result.NOT_SENT;
        }
        try (HttpClientResponse reply = mConnections.send(address, request, RESPONSE_TIMEOUT)) {
            reply.readAll(MAXIMUM_RESPONSE_BYTES);
            return switch (reply.status()) {
                case STATUS_OK -> Result.APPLIED;
                case STATUS_CONFLICT -> Result.REFUSED_FOR_TERM;
                default -> Result.UNKNOWN;
            };
        } catch (NotSentException e) {
            return Result.NOT_SENT;
        } catch (IOException e) {
            return Result.UNKNOWN;
        }
    }
}
