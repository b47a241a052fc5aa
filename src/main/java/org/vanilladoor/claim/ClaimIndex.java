package org.vanilladoor.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a shard's log says about each key, up to a position.
 *
 * <p>Invariant: reflects every record below {@link #endPosition} that has not expired, and no
 * other. Belongs to the control thread.
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

    /** Takes in the records of a segment that are not yet known. */
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

    /** Forgets the records of a segment that has expired. */
    void remove(ClaimSegment segment) {
        for (ClaimRecord record : segment.records()) {
            mLast.computeIfPresent(
                    record.key(),
                    (key, state) -> state.position() < segment.endPosition() ? null : state);
        }
    }

    /** Returns what stands about an attempt's key, or empty if nothing does. */
    Optional<State> lookUp(String key) {
        return Optional.ofNullable(mLast.get(key));
    }

    int size() {
        return mLast.size();
    }

    /** The last record of a key with its position. */
    record State(ClaimRecord record, long position) {
        boolean isClaim() {
            return record.kind() == ClaimRecord.Kind.CLAIM;
        }

        boolean isBy(Attempt attempt) {
            return record.attempt().equals(attempt.identifier());
        }
    }
}
