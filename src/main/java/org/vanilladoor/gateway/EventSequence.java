package org.vanilladoor.gateway;

import java.util.Optional;

/**
 * The order of the events that one caller gets, over all runs that supply them.
 *
 * <p>Identifiers are numbers that grow. Invariants: no event is accepted twice or after a later
 * one; as long as all identifiers have been consecutive, the first event of a further run has to
 * be, too. Identifiers that are not numbers are only compared with their predecessor. Confined to
 * the control thread.
 */
final class EventSequence {
    private static final int MAXIMUM_DIGITS = 18;

    private Optional<String> mBefore;
    private Optional<String> mLastForwarded = Optional.empty();
    private boolean mConsecutive = true;
    private boolean mAtStartOfRun = true;
    private boolean mResumable = true;

    private EventSequence(Optional<String> before) {
        mBefore = before;
    }

    /**
     * Returns the sequence of a response without events.
     *
     * @param before identifier of the last event that the caller has from an earlier response
     */
    static EventSequence after(Optional<String> before) {
        return new EventSequence(before);
    }

    /** Begins a further run, which has to go on after the last event. */
    void startRun() {
        mAtStartOfRun = true;
    }

    /** Accepts an event that has no identifier, so that no other run can go on after it. */
    void acceptUnidentified() {
        mAtStartOfRun = false;
        mResumable = false;
    }

    /** Accepts the event with an identifier, or returns false if it does not follow the last. */
    boolean tryAccept(String identifier) {
        if (mBefore.isPresent() && !follows(mBefore.get(), identifier)) {
            return false;
        }
        mBefore = Optional.of(identifier);
        mLastForwarded = mBefore;
        mAtStartOfRun = false;
        mResumable = true;
        return true;
    }

    private boolean follows(String before, String identifier) {
        if (!isNumber(before) || !isNumber(identifier)) {
            return !before.equals(identifier);
        }
        long step = Long.parseLong(identifier) - Long.parseLong(before);
        if (mLastForwarded.isEmpty()) {
            return step > 0;
        }
        if (mAtStartOfRun && mConsecutive) {
            return step == 1;
        }
        mConsecutive &= step == 1;
        return step > 0;
    }

    private static boolean isNumber(String identifier) {
        return !identifier.isEmpty()
                && identifier.length() <= MAXIMUM_DIGITS
                && identifier.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    /** Returns the identifier of the last event that had one. */
    Optional<String> lastIdentifier() {
        return mLastForwarded;
    }

    /** Returns whether another run can go on after the last event. */
    boolean isResumable() {
        return mResumable;
    }
}
