package org.vanilladoor.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * A consecutive part of a shard's claim log, stored in one object.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number number of the segment within its shard
 * @param firstPosition position of the first record within the shard's log
 * @param sealed whether the segment is full and the log continues in the next one
 * @param records records in log order
 */
record ClaimSegment(long number, long firstPosition, boolean sealed, List<ClaimRecord> records) {
    static final int MAXIMUM_RECORDS = 400;

    ClaimSegment {
        records = List.copyOf(records);
    }

    static ClaimSegment first() {
        return new ClaimSegment(0, 0, false, List.of());
    }

    ClaimSegment append(List<ClaimRecord> appended) {
        List<ClaimRecord> all = new ArrayList<>(records);
        all.addAll(appended);
        return new ClaimSegment(number, firstPosition, all.size() >= MAXIMUM_RECORDS, all);
    }

    ClaimSegment next() {
        return new ClaimSegment(number + 1, endPosition(), false, List.of());
    }

    long endPosition() {
        return firstPosition + records.size();
    }

    long newestEpochMillis() {
        return records.stream().mapToLong(ClaimRecord::epochMillis).max().orElse(0);
    }
}
