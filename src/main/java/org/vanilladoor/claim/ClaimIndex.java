package org.vanilladoor.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The last record of each key in a shard's log, up to a position.
 *
 * <p>Invariant: reflects exactly the records below {@link #endPosition} that have not expired.
 * Confined to the control thread.
 */
final class ClaimIndex {
    private final Map<String, State> mLast = new HashMap<>();
    private long mEndPosition;

    private ClaimIndex() {}

    static ClaimIndex create() {
        return new ClaimIndex();
    }

    long endPosition() {
        return mEndPosition;
    }

    /** Adds those records of a segment that are not yet in the index. */
    void add(ClaimSegment segment) {
        long position = segment.firstPosition();
        for (ClaimRecord record : segment.records()) {
            if (position >= mEndPosition) {
                mLast.put(record.key(), new State(record, position));
            }
            position++;
        }
        mEndPosition = Math.max(mEndPosition, segment.endPosition());
    }

    /** Removes the records of a segment that has expired. */
    void remove(ClaimSegment segment) {
        for (ClaimRecord record : segment.records()) {
            mLast.computeIfPresent(
                    record.key(),
                    (key, state) -> state.position() < segment.endPosition() ? null : state);
        }
    }

    /** Returns the last record of a key, or empty if there is none. */
    Optional<State> lookUp(String key) {
        return Optional.ofNullable(mLast.get(key));
    }

    int size() {
        return mLast.size();
    }

    /** The last record of a key and its position in the log. */
    record State(ClaimRecord record, long position) {
        boolean isClaim() {
            return record.kind() == ClaimRecord.Kind.CLAIM;
        }

        boolean isBy(Attempt attempt) {
            return record.attempt().equals(attempt.identifier());
        }
    }
}
