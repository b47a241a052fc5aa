package org.vanilladoor.order;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpCallOut;
import org.vanilladoor.http.HttpLinks;
import org.vanilladoor.http.HttpReply;
import org.vanilladoor.http.NotHandedOverException;

/**
 * Sends orders to endpoints over HTTP, each on a connection of its own.
 *
 * <p>Safe for use by any thread.
 */
public final class HttpOrderSender implements OrderSender {
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(2);
    private static final int MAXIMUM_ANSWER_BYTES = 65_536;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private final HttpLinks mLinks;
    private final Executor mThreads;
    private final String mCredential;
    private final Function<String, HostPort> mAddressOfEndpoint;

    private HttpOrderSender(
            HttpLinks links,
            Executor threads,
            String credential,
            Function<String, HostPort> addressOfEndpoint) {
        mLinks = links;
        mThreads = threads;
        mCredential = credential;
        mAddressOfEndpoint = addressOfEndpoint;
    }

    /**
     * Returns a sender of orders.
     *
     * @param addressOfEndpoint returns an endpoint's address; called on the sender's thread
     */
    public static HttpOrderSender create(
            HttpLinks links,
            Executor threads,
            String credential,
            Function<String, HostPort> addressOfEndpoint) {
        return new HttpOrderSender(links, threads, credential, addressOfEndpoint);
    }

    @Override
    public CompletableFuture<Result> send(OpenOrder order) {
        return CompletableFuture.supplyAsync(() -> sendNow(order), mThreads);
    }

    private Result sendNow(OpenOrder order) {
        ObjectNode body = Json.newObject();
        body.put("identifier", order.identifier());
        body.put("term", order.term());
        body.put("sender", order.writer());
        body.put("role", order.content());
        HttpCallOut request =
                HttpCallOut.postOnce("/orders", Json.write(body))
                        .withHeader("Authorization", "Bearer " + mCredential);
        HostPort address = mAddressOfEndpoint.apply(order.target());
        if (address == null) {
            return Result.NOT_SENT;
        }
        try (HttpReply reply = mLinks.send(address, request, ANSWER_LIMIT)) {
            reply.readAll(MAXIMUM_ANSWER_BYTES);
            return switch (reply.status()) {
                case OK -> Result.APPLIED;
                case CONFLICT -> Result.REFUSED_FOR_TERM;
                default -> Result.UNKNOWN;
            };
        } catch (NotHandedOverException e) {
            return Result.NOT_SENT;
        } catch (IOException e) {
            return Result.UNKNOWN;
        }
    }
}
