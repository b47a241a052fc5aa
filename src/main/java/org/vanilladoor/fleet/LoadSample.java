package org.vanilladoor.fleet;

/**
 * The load of an endpoint, as stated in one of its responses.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that may run at the same time
 */
public record LoadSample(int running, int waiting, int slots) {}
