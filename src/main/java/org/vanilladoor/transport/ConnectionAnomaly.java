package org.vanilladoor.transport;

/**
 * What shows that a peer mixes up the responses on a connection.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum ConnectionAnomaly {
    /** Bytes arrived although no response was due, so that they belong to no call. */
    STRAY_BYTES,
    /** The head of a response contains a second status line. */
    MERGED_HEADS,
    /** The response belongs to another request, or consists of parts of several responses. */
    FOREIGN_RESPONSE
}
