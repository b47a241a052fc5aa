package org.vanilladoor.gateway;

/**
 * Hears of the work that goes on at a service's endpoints.
 *
 * <p>Called on the control thread.
 */
public interface WorkSink {
    /** A prompt begins (1) or ends (-1) being read apart, or to wait for that. */
    void reading(String service, int change);

    /** A request begins (1) or ends (-1) running. */
    void running(String service, int change);
}
