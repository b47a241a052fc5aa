package org.vanilladoor.http;

import java.io.IOException;

/**
 * Handles HTTP requests.
 *
 * <p>Implementations are called by many traffic threads at once and may block.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles one request by calling one of the exchange's {@code respond} methods exactly once.
     *
     * @throws ProblemException to respond with a problem document
     * @throws IOException if the request can't be read
     */
    void handle(HttpExchange exchange) throws IOException;
}
