package org.vanilladoor.common;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * What a caller's connection has done, which decides whether it is closed when there is no room for
 * a further one.
 *
 * <p>Invariant: a connection with a request that its caller waits for, or one that was kept after a
 * response for less than {@value #MAXIMUM_KEPT_MILLIS} ms, is not closed unless its caller has sent
 * requests ahead. Safe for use by any thread.
 */
public final class CallerActivity {
    /** Time that a caller has for its first request when there is no room for others. */
    private static final long FIRST_REQUEST_MILLIS = 100;

    /** Time without progress after which the rest of a response counts as unread. */
    private static final long UNREAD_MILLIS = 1_000;

    /** Callers keep a connection idle for up to four fifths of the 15 s that are allowed. */
    private static final long MAXIMUM_KEPT_MILLIS = 12_000;

    /**
     * Time for which a connection that has carried requests sent ahead is kept. With the longer
     * one, a few hundred such callers held all places in turn for half a minute.
     */
    private static final long MAXIMUM_KEPT_AFTER_SENDING_AHEAD_MILLIS = 1_000;

    private boolean mHasRequested;
    private boolean mHasSentAhead;
    private boolean mRequestOpen;
    private boolean mReadAhead;
    private boolean mStuck;
    private long mSinceMillis;

    private CallerActivity(long nowMillis) {
        mSinceMillis = nowMillis;
    }

    /** Returns the activity of a connection that has just been opened. */
    public static CallerActivity openedAt(long nowMillis) {
        return new CallerActivity(nowMillis);
    }

    public synchronized void startRequest(long nowMillis) {
        mHasRequested = true;
        mRequestOpen = true;
        mSinceMillis = nowMillis;
    }

    public synchronized void completeResponse(long nowMillis) {
        mRequestOpen = false;
        mStuck = false;
        mSinceMillis = nowMillis;
    }

    /** Records whether a part of a further request was read before the open one has ended. */
    public synchronized void setReadAhead(boolean readAhead) {
        mReadAhead = readAhead;
        mHasSentAhead |= readAhead;
    }

    /**
     * Records an attempt to write.
     *
     * @param count number of bytes that the connection took
     * @param complete whether these were all
     */
    public synchronized void recordWrite(int count, boolean complete, long nowMillis) {
        if (complete) {
            mStuck = false;
        } else if (count > 0 || !mStuck) {
            mStuck = true;
            mSinceMillis = nowMillis;
        }
    }

    /** Returns the reason to close the connection if there is no room; empty if there is none. */
    public synchronized Optional<Candidate> candidate(long nowMillis) {
        long ageMillis = nowMillis - mSinceMillis;
        if (!mHasRequested) {
            return candidateIf(ageMillis >= FIRST_REQUEST_MILLIS, Reason.NO_REQUEST);
        }
        if (mStuck) {
            return candidateIf(ageMillis >= UNREAD_MILLIS, Reason.UNREAD_RESPONSE);
        }
        if (mRequestOpen) {
            return candidateIf(mReadAhead, Reason.REQUEST_SENT_AHEAD);
        }
        long keptMillis =
                mHasSentAhead ? MAXIMUM_KEPT_AFTER_SENDING_AHEAD_MILLIS : MAXIMUM_KEPT_MILLIS;
        return candidateIf(ageMillis >= keptMillis, Reason.IDLE);
    }

    /**
     * Returns the connection that is closed first when there is no room, if one may be closed.
     *
     * @param candidateOf returns the reason to close a connection, if there is one
     */
    public static <T> Optional<Closable<T>> firstToClose(
            Collection<T> connections, Function<T, Optional<Candidate>> candidateOf) {
        return connections.stream()
                .flatMap(
                        connection ->
                                candidateOf
                                        .apply(connection)
                                        .map(candidate -> new Closable<>(connection, candidate))
                                        .stream())
                .min(Comparator.comparing(Closable::candidate));
    }

    private Optional<Candidate> candidateIf(boolean condition, Reason reason) {
        return condition ? Optional.of(new Candidate(reason, mSinceMillis)) : Optional.empty();
    }

    /** Reasons to close a connection, the one that is applied first at the top. */
    public enum Reason {
        NO_REQUEST,
        UNREAD_RESPONSE,
        IDLE,
        REQUEST_SENT_AHEAD
    }

    /** A connection and the reason for which it may be closed. */
    public record Closable<T>(T connection, Candidate candidate) {}

    /**
     * The reason for which a connection may be closed.
     *
     * @param sinceMillis time since which the reason has applied
     */
    public record Candidate(Reason reason, long sinceMillis) implements Comparable<Candidate> {
        private static final Comparator<Candidate> ORDER =
                Comparator.comparing(Candidate::reason).thenComparing(Candidate::sinceMillis);

        @Override
        public int compareTo(Candidate other) {
            return ORDER.compare(this, other);
        }
    }
}
