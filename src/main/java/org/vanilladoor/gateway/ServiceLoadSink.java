package org.vanilladoor.gateway;

/**
 * Receives changes of the load on a service's endpoints.
 *
 * <p>Called on the control thread.
 */
public interface ServiceLoadSink {
    /**
     * Adds a change to the number of prompts that wait for, or are in, prefill on a separate
     * engine.
     *
     * @param change 1 or -1
     */
    void adjustPrefills(String service, int change);

    /**
     * Adds a change to the number of running requests.
     *
     * @param change 1 or -1
     */
    void adjustRunning(String service, int change);
}
