package org.vanilladoor.lease;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.StoredObject;

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

    /** Holder of a lease whose object can't be read. */
    private static final String UNKNOWN_HOLDER = "?";

    /**
     * Decodes a record; one that can't be read, or that no process of ours can have written, stands
     * for a lease of an unknown holder.
     *
     * <p>The term of such a lease is the object's version, which no earlier term exceeds, since
     * each term has begun with a write.
     */
    static LeaseRecord decodeOrUnknown(StoredObject object) {
        try {
            LeaseRecord record = Json.read(object.content(), LeaseRecord.class);
            boolean isPlausible = record.term() > 0 && record.term() <= object.version();
            return isPlausible ? record : unknown(object.version());
        } catch (UncheckedIOException e) {
            return unknown(object.version());
        }
    }

    private static LeaseRecord unknown(long term) {
        return new LeaseRecord(UNKNOWN_HOLDER, 0, term, false, "");
    }

    /** Returns whether the record stands for a lease whose object can't be read. */
    @JsonIgnore
    boolean isUnknown() {
        return holder.equals(UNKNOWN_HOLDER);
    }

    /** Returns the record that stands for a lease that was never acquired. */
    static LeaseRecord none() {
        return new LeaseRecord("", 0, 0, true, "");
    }
}
