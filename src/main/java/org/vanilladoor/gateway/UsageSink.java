package org.vanilladoor.gateway;

/**
 * Counts the requests that started to run, by team.
 *
 * <p>Called on the control thread.
 */
public interface UsageSink {
    /** Counts one request that has just started to run. */
    void countStartedRequest(String team);
}
