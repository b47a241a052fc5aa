package org.vanilladoor.route;

/**
 * What a caller may send.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param headerBytes largest head of a request
 * @param bodyBytes largest body of a request
 */
public record RequestSizeLimits(int headerBytes, int bodyBytes) {}
