package org.vanilladoor.lease;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoredObject;

/**
 * The content of a lease's stored object.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param holder incarnation of the process that holds the lease
 * @param sequence counts the holder's writes, so that the holder can recognize its own write when
 *     reading
 * @param term increases whenever the lease is acquired; like a version it has the store's era in
 *     its high bits, so that no term is used again after the store has lost the write that began it
 * @param released whether the holder has released the lease
 * @param payload application data that is written together with the lease
 */
public record LeaseRecord(
        String holder, long sequence, long term, boolean released, String payload) {
    public LeaseRecord {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(payload, "payload");
    }

    /** Holder of a lease whose record says nothing of the present holder. */
    private static final String UNKNOWN_HOLDER = "?";

    /**
     * Decodes a record; one that can't be read, that no process of ours can have written, or that
     * was written for another era of the store than the present one, stands for a lease of an
     * unknown holder.
     *
     * <p>The term of such a lease is the object's version, which no earlier term exceeds, since
     * each term has begun with a write. A record of an earlier era may be a copy, after which the
     * lease was passed on, or may have been written late, over another holder's.
     */
    static LeaseRecord decodeOrUnknown(StoredObject object) {
        try {
            LeaseRecord record = Json.read(object.content(), LeaseRecord.class);
            boolean isPlausible = record.term() > 0 && record.term() <= object.version();
            boolean isOfEra =
                    ObjectVersion.eraOf(record.term()) == ObjectVersion.eraOf(object.version());
            return isPlausible && isOfEra ? record : unknown(object.version());
        } catch (UncheckedIOException e) {
            return unknown(object.version());
        }
    }

    private static LeaseRecord unknown(long term) {
        return new LeaseRecord(UNKNOWN_HOLDER, 0, term, false, "");
    }

    /** Returns whether the record stands for a lease whose holder is unknown. */
    @JsonIgnore
    boolean isUnknown() {
        return holder.equals(UNKNOWN_HOLDER);
    }

    /**
     * Returns the record that stands for a lease without an object.
     *
     * @param era era of the store; in a later one than the first the object may have been lost
     */
    static LeaseRecord absentIn(long era) {
        return era == 0 ? none() : unknown(ObjectVersion.absentIn(era));
    }

    /** Returns the record that stands for a lease that was never acquired. */
    static LeaseRecord none() {
        return new LeaseRecord("", 0, 0, true, "");
    }
}
