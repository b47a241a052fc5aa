package org.vanilladoor.gateway;

/**
 * Receives changes of the load on a service's endpoints.
 *
 * <p>Called on the control thread.
 */
public interface ServiceLoadSink {
    /** Adds a change to a number of calls, or of what they need. */
    void adjust(String service, Gauge gauge, long change);

    /** Adds to a number of events. */
    void count(String service, Counter counter, long number);

    /** A number that rises and falls. */
    enum Gauge {
        /** Prompts that wait for, or are in, prefill on a separate engine. */
        PREFILLS,
        /** Prompts that wait for a prefill engine with room. */
        WAITING_PROMPTS,
        /** Requests sent to an endpoint that runs them. */
        RUNNING,
        /** Running requests whose stream has no first event. */
        AWAITING_FIRST_EVENT,
        /** Tokens that the running requests may generate. */
        OUTPUT_TOKENS
    }

    /** A number of events, which only rises. */
    enum Counter {
        /** Prompts that are to be prefilled on a separate engine. */
        ARRIVED_PROMPTS,
        /** Prompts that an engine has prefilled for another one. */
        PREFILLED_PROMPTS,
        /** Prompts refused for want of a prefill engine, or sent to one after their objective. */
        MISSED_PROMPTS,
        /** Tokens that requests which have begun and ended might generate. */
        GENERATED_TOKENS
    }
}
