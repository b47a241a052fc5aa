package org.vanilladoor.http;

import java.io.IOException;

/**
 * Answers HTTP requests.
 *
 * <p>Implementations are called by many traffic threads at once and may block.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers one request by calling one of the reply methods of the exchange exactly once.
     *
     * @throws ProblemException to answer with a problem document
     * @throws IOException if the request can't be read
     */
    void handle(HttpExchange exchange) throws IOException;
}
