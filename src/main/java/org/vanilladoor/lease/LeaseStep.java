package org.vanilladoor.lease;

/**
 * The next action that a {@link LeaseCore} asks its caller to carry out.
 *
 * <p>Immutable and safe for use by any thread.
 */
public sealed interface LeaseStep {
    /** Do nothing for now. */
    record Wait() implements LeaseStep {}

    /** Read the lease's stored object. */
    record Read() implements LeaseStep {}

    /**
     * Write the lease's stored object once, without retries.
     *
     * @param expectedVersion version that the write has to replace
     * @param record content to write
     */
    record Write(long expectedVersion, LeaseRecord record) implements LeaseStep {}
}
