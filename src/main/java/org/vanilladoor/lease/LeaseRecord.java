package org.vanilladoor.lease;

import java.util.Objects;

/**
 * The content of a lease's object.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param holder incarnation of the process that holds the lease
 * @param sequence counts the holder's writes, so that it knows its own ones
 * @param term grows by one with each taking
 * @param released whether the holder has given the lease up
 * @param payload what is written together with the lease
 */
public record LeaseRecord(
        String holder, long sequence, long term, boolean released, String payload) {
    public LeaseRecord {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(payload, "payload");
    }

    /** Returns the record before anybody has taken the lease. */
    static LeaseRecord none() {
        return new LeaseRecord("", 0, 0, true, "");
    }
}
