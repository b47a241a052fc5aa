package org.vanilladoor.fleet;

/**
 * What an endpoint said of its load in an answer.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots requests that may run at the same time
 */
public record LoadSample(int running, int waiting, int slots) {}
