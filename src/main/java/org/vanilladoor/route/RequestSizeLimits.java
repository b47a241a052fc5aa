package org.vanilladoor.route;

/**
 * The size limits of callers' requests.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param headerBytes maximum size of a request's head in bytes
 * @param bodyBytes maximum size of a request's body in bytes
 */
public record RequestSizeLimits(int headerBytes, int bodyBytes) {}
