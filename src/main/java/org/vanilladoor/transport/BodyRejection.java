package org.vanilladoor.transport;

/**
 * The reason for which the body of a request is not kept.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum BodyRejection {
    /** It is larger than the configured limit. */
    TOO_LARGE,
    /** The process has no memory for it. */
    NO_MEMORY
}
