package org.vanilladoor.gateway;

/**
 * Counts the work that callers ask of a service.
 *
 * <p>Called on the control thread.
 */
public interface DemandSink {
    /** Counts a request, with the tokens to read and at most to generate; 0 for plain services. */
    void arrived(String service, long promptTokens, long outputTokens);
}
