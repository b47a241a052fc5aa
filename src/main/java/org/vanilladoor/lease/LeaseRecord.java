package org.vanilladoor.lease;

import java.util.Objects;

/**
 * The content of a lease's stored object.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param holder incarnation of the process that holds the lease
 * @param sequence counts the holder's writes, so that the holder can recognize its own write when
 *     reading
 * @param term increases by one whenever the lease is acquired
 * @param released whether the holder has released the lease
 * @param payload application data that is written together with the lease
 */
public record LeaseRecord(
        String holder, long sequence, long term, boolean released, String payload) {
    public LeaseRecord {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(payload, "payload");
    }

    /** Returns the record that stands for a lease that was never acquired. */
    static LeaseRecord none() {
        return new LeaseRecord("", 0, 0, true, "");
    }
}
