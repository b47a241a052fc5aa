package org.vanilladoor.lease;

/**
 * What a lease's core wants done next.
 *
 * <p>Immutable and safe for use by any thread.
 */
public sealed interface LeaseStep {
    /** Nothing for now. */
    record Wait() implements LeaseStep {}

    /** Read the lease's object. */
    record Read() implements LeaseStep {}

    /**
     * Write the lease's object, once.
     *
     * @param expectedVersion version to replace
     * @param record content to write
     */
    record Write(long expectedVersion, LeaseRecord record) implements LeaseStep {}
}
