package org.vanilladoor.lease;

import java.util.Optional;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * Decides when a process takes, renews and gives up a lease.
 *
 * <p>The lease is one object, changed by conditional update. Its holder trusts itself for a length
 * after it SENT its last successful renewal; another process takes over only after it has watched
 * the same version for longer than that on its own clock. Invariants: no wall clock is read; one
 * step is open at a time; the payload is committed only together with the lease. Time and results
 * go in, steps come out. Belongs to the control thread.
 */
public final class LeaseCore {
    private final String mSelf;
    private final LeaseTiming mTiming;
    private LeaseRecord mKnown = LeaseRecord.none();
    private long mKnownVersion = ObjectStore.ABSENT;
    private long mKnownSinceMillis = Long.MIN_VALUE;
    private boolean mKnowsVersion;
    private boolean mStepOpen;
    private LeaseRecord mWriting;
    private long mSentMillis;
    private long mTrustedUntilMillis = Long.MIN_VALUE;
    private long mSequence;
    private boolean mWanted;
    private String mPayload;
    private long mLastReadMillis = Long.MIN_VALUE;

    private LeaseCore(String self, LeaseTiming timing) {
        mSelf = self;
        mTiming = timing;
    }

    /**
     * Returns the core of a process that knows nothing of the lease.
     *
     * @param self incarnation of this process
     * @param timing times of the lease
     */
    public static LeaseCore create(String self, LeaseTiming timing) {
        return new LeaseCore(self, timing);
    }

    /** Says whether this process is to take the lease when it can, or give it up. */
    public void setWanted(boolean wanted) {
        mWanted = wanted;
    }

    /**
     * Asks for the payload to be replaced by the holder's next write.
     *
     * @throws IllegalStateException if the lease is not held
     */
    public void propose(String payload, long nowMillis) {
        if (!isHeld(nowMillis)) {
            throw new IllegalStateException("the lease is not held");
        }
        mPayload = payload;
    }

    /** Gives up trusting the lease at once, as after an order was refused for its term. */
    public void invalidate() {
        mTrustedUntilMillis = Long.MIN_VALUE;
        mKnowsVersion = false;
    }

    /** Returns the next step, or to wait; a step has to be answered before the next one. */
    public LeaseStep nextStep(long nowMillis) {
        if (mStepOpen) {
            return new LeaseStep.Wait();
        }
        if (!mKnowsVersion) {
            return read(nowMillis);
        }
        if (isOwn(mKnown) && !mKnown.released()) {
            return nextOfHolder(nowMillis);
        }
        if (!mWanted) {
            return new LeaseStep.Wait();
        }
        if (mKnown.released() || isSilent(nowMillis)) {
            return write(mKnown.term() + 1, false, mKnown.payload(), nowMillis);
        }
        boolean readLately = nowMillis - mLastReadMillis < mTiming.renewAfterMillis();
        return readLately ? new LeaseStep.Wait() : read(nowMillis);
    }

    /** Answers a read step. */
    public void onRead(Optional<StoredObject> found, long nowMillis) {
        mStepOpen = false;
        LeaseRecord record =
                found.map(object -> Json.read(object.content(), LeaseRecord.class))
                        .orElse(LeaseRecord.none());
        long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        know(record, version, nowMillis);
        boolean ownWriteTookEffect =
                mWriting != null && isOwn(record) && record.sequence() == mWriting.sequence();
        if (ownWriteTookEffect) {
            trust();
        }
        mWriting = null;
    }

    /** Answers a read step that failed. */
    public void onReadFailed() {
        mStepOpen = false;
    }

    /** Answers a write step that took effect. */
    public void onWritten(long version, long nowMillis) {
        mStepOpen = false;
        know(mWriting, version, nowMillis);
        trust();
        mWriting = null;
    }

    /** Answers a write step that had no effect, or whose effect is not known. */
    public void onWriteFailed() {
        mStepOpen = false;
        mKnowsVersion = false;
    }

    /** Returns whether this process holds the lease and may act under it now. */
    public boolean isHeld(long nowMillis) {
        return nowMillis < mTrustedUntilMillis;
    }

    /** Returns the term that is known. */
    public long term() {
        return mKnown.term();
    }

    /** Returns the holder that is known, or an empty string. */
    public String holder() {
        return mKnown.released() ? "" : mKnown.holder();
    }

    /** Returns the payload that is committed, as far as known. */
    public String payload() {
        return mKnown.payload();
    }

    /** Returns whether a proposed payload still waits to be committed. */
    public boolean hasUncommittedPayload() {
        return mPayload != null && !mPayload.equals(mKnown.payload());
    }

    private LeaseStep nextOfHolder(long nowMillis) {
        if (!mWanted) {
            return write(mKnown.term(), true, mKnown.payload(), nowMillis);
        }
        if (!isHeld(nowMillis)) {
            // Trust has lapsed: the lease is taken anew, under a new term.
            return write(mKnown.term() + 1, false, mKnown.payload(), nowMillis);
        }
        boolean due = nowMillis - mSentMillis >= mTiming.renewAfterMillis();
        if (hasUncommittedPayload() || due) {
            String payload = mPayload == null ? mKnown.payload() : mPayload;
            return write(mKnown.term(), false, payload, nowMillis);
        }
        return new LeaseStep.Wait();
    }

    private LeaseStep read(long nowMillis) {
        mStepOpen = true;
        mLastReadMillis = nowMillis;
        return new LeaseStep.Read();
    }

    private LeaseStep write(long term, boolean released, String payload, long nowMillis) {
        mStepOpen = true;
        mSequence++;
        mSentMillis = nowMillis;
        if (released) {
            mTrustedUntilMillis = Long.MIN_VALUE;
        }
        if (term != mKnown.term()) {
            mPayload = null;
        }
        mWriting = new LeaseRecord(mSelf, mSequence, term, released, payload);
        return new LeaseStep.Write(mKnownVersion, mWriting);
    }

    private void know(LeaseRecord record, long version, long nowMillis) {
        if (!mKnowsVersion && version == mKnownVersion && mKnownSinceMillis != Long.MIN_VALUE) {
            mKnowsVersion = true;
            return;
        }
        if (!isOwn(record)) {
            mTrustedUntilMillis = Long.MIN_VALUE;
            mPayload = null;
        }
        if (version != mKnownVersion || mKnownSinceMillis == Long.MIN_VALUE) {
            mKnownSinceMillis = nowMillis;
        }
        mKnown = record;
        mKnownVersion = version;
        mKnowsVersion = true;
    }

    private void trust() {
        if (!mKnown.released()) {
            mTrustedUntilMillis = mSentMillis + mTiming.trustMillis();
        }
    }

    private boolean isOwn(LeaseRecord record) {
        return record.holder().equals(mSelf);
    }

    private boolean isSilent(long nowMillis) {
        return nowMillis - mKnownSinceMillis >= mTiming.takeOverMillis();
    }
}
