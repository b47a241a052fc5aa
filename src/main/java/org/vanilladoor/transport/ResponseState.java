package org.vanilladoor.transport;

/**
 * How far the response to a caller's request has come.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum ResponseState {
    NOT_STARTED,
    STREAMING,
    ENDED
}
