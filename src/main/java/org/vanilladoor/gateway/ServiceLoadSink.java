package org.vanilladoor.gateway;

/**
 * Hears of the work that goes on at a service's endpoints.
 *
 * <p>Called on the control thread.
 */
public interface ServiceLoadSink {
    /** A prompt begins (1) or ends (-1) being read apart, or to wait for that. */
    void adjustPrefills(String service, int change);

    /** A request begins (1) or ends (-1) running. */
    void adjustRunning(String service, int change);
}
