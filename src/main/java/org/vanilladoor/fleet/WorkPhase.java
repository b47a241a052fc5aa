package org.vanilladoor.fleet;

/** The work that a call asks of an endpoint. */
public enum WorkPhase {
    /** Prefill the prompt for another engine. */
    PREFILL,
    /** Run a request whose KV cache is fetched from another engine. */
    RUN_WITH_CACHE,
    /** Run a request, its prefill included. */
    RUN
}
