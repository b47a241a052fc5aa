package org.vanilladoor.lease;

import java.util.Optional;
import java.util.function.Function;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoredObject;

/**
 * Decides when a process acquires, renews and releases a lease.
 *
 * <p>The lease is one stored object, changed by conditional update. For its holder the lease is
 * valid for a fixed time from when the last successful renewal was <em>sent</em>. Another process
 * takes the lease over only after it has observed the same version for longer than that on its own
 * clock. That holds for a lease of an unknown holder, too, which is what each lease becomes when
 * the store returns from an older copy. Invariants: no wall clock is read; at most one step is
 * outstanding; the payload is committed only together with the lease; no call under the lease
 * arrives after one of a later term, if it is ended at the end of its grant and takes no longer
 * than {@link LeaseTiming#deliveryMillis} to arrive then. This class performs no input or output:
 * the caller passes in the monotonic time and the results of the steps, and carries out the steps
 * that are returned. Confined to the control thread.
 */
public final class LeaseCore {
    private final String mSelf;
    private final LeaseTiming mTiming;
    private final Function<StoredObject, LeaseRecord> mDecoder;
    private LeaseRecord mKnown = LeaseRecord.none();
    private long mKnownVersion = ObjectStore.ABSENT;
    private long mKnownSinceMillis = Long.MIN_VALUE;
    private boolean mVersionIsKnown;
    private boolean mStepOutstanding;
    private LeaseRecord mPendingWrite;
    private long mSentMillis;
    private long mValidUntilMillis = Long.MIN_VALUE;
    private boolean mInvalidatedSinceSend;
    private LeaseEnd mLastEnd = LeaseEnd.EXPIRED;
    private final CallLedger mCalls;
    private long mSequence;
    private boolean mWanted;
    private String mProposedPayload;
    private long mLastReadMillis = Long.MIN_VALUE;

    private LeaseCore(
            String self, LeaseTiming timing, Function<StoredObject, LeaseRecord> decoder) {
        mSelf = self;
        mTiming = timing;
        mDecoder = decoder;
        mCalls = CallLedger.create(timing);
    }

    /**
     * Returns the state machine of a process that has not yet read the lease.
     *
     * @param self incarnation of this process
     * @param timing durations of the lease
     */
    public static LeaseCore create(String self, LeaseTiming timing) {
        return new LeaseCore(
                self, timing, object -> Json.read(object.content(), LeaseRecord.class));
    }

    /**
     * Returns the state machine for a lease without payload. If its object can't be read, it is
     * taken over like the lease of a holder that is gone, under a term above all earlier ones.
     *
     * @param self incarnation of this process
     * @param timing durations of the lease
     */
    public static LeaseCore createWithoutPayload(String self, LeaseTiming timing) {
        return new LeaseCore(self, timing, LeaseRecord::decodeOrUnknown);
    }

    /** Sets whether this process acquires the lease when it can, or releases it. */
    public void setWanted(boolean wanted) {
        mWanted = wanted;
    }

    /**
     * Replaces the payload with the holder's next write.
     *
     * @throws IllegalStateException if the lease is not held
     */
    public void propose(String payload, long nowMillis) {
        if (!isHeld(nowMillis)) {
            throw new IllegalStateException("the lease is not held");
        }
        mProposedPayload = payload;
    }

    /**
     * Treats the lease as no longer valid until it has been acquired again by a write that is sent
     * later; a write whose response is outstanding does not make it valid.
     *
     * <p>Used, for example, after an order was refused for its term.
     */
    public void invalidate() {
        endValidity(LeaseEnd.INVALIDATED);
        mVersionIsKnown = false;
        mInvalidatedSinceSend = true;
    }

    /**
     * Returns the next step to carry out.
     *
     * <p>The result of a read or write has to be reported before another step is returned; until
     * then this returns {@link LeaseStep.Wait}.
     */
    public LeaseStep nextStep(long nowMillis) {
        if (mStepOutstanding) {
            return new LeaseStep.Wait();
        }
        if (!mVersionIsKnown) {
            return requestRead(nowMillis);
        }
        if (isOwn(mKnown) && !mKnown.released()) {
            return nextStepOfHolder(nowMillis);
        }
        if (!mWanted) {
            return new LeaseStep.Wait();
        }
        if (mKnown.released() || isExpired(nowMillis)) {
            return requestWrite(mKnown.term() + 1, false, mKnown.payload(), nowMillis);
        }
        boolean readRecently = nowMillis - mLastReadMillis < mTiming.renewAfterMillis();
        return readRecently ? new LeaseStep.Wait() : requestRead(nowMillis);
    }

    /**
     * Reports the result of a read step.
     *
     * @param era era of the store
     */
    public void onRead(Optional<StoredObject> found, long era, long nowMillis) {
        mStepOutstanding = false;
        LeaseRecord record = found.map(mDecoder).orElse(LeaseRecord.absentIn(era));
        long version =
                found.map(StoredObject::version).orElseGet(() -> ObjectVersion.absentIn(era));
        updateKnown(record, version, nowMillis);
        boolean ownWriteTookEffect =
                mPendingWrite != null
                        && isOwn(record)
                        && record.sequence() == mPendingWrite.sequence();
        if (ownWriteTookEffect) {
            extendValidity();
        }
        mPendingWrite = null;
    }

    /** Reports that a read step failed. */
    public void onReadFailed() {
        mStepOutstanding = false;
    }

    /**
     * Reports that a write step took effect.
     *
     * <p>One that took effect in a later era than it was sent in doesn't make the lease valid: the
     * store may have lost another holder's record.
     */
    public void onWritten(long version, long nowMillis) {
        if (ObjectVersion.eraOf(version) != ObjectVersion.eraOf(mPendingWrite.term())) {
            onWriteFailed();
            return;
        }
        mStepOutstanding = false;
        updateKnown(mPendingWrite, version, nowMillis);
        extendValidity();
        mPendingWrite = null;
    }

    /** Reports that a write step had no effect, or that its effect is unknown. */
    public void onWriteFailed() {
        mStepOutstanding = false;
        mVersionIsKnown = false;
    }

    /** Returns whether this process holds the lease and may act under it now. */
    public boolean isHeld(long nowMillis) {
        return nowMillis < mValidUntilMillis;
    }

    /** Returns whether a call under the lease may begin now. */
    public boolean mayCall(long nowMillis) {
        return mWanted
                && isHeld(nowMillis)
                && mCalls.mayBegin(mKnown.term(), mValidUntilMillis, nowMillis);
    }

    /**
     * Begins a call under the lease, if one may begin now. Its end has to be reported.
     *
     * <p>The caller ends the call at the end of its grant, or when the lease ceases to be held.
     */
    public Optional<CallGrant> beginCall(long nowMillis) {
        return mayCall(nowMillis)
                ? mCalls.begin(mKnown.term(), mValidUntilMillis, nowMillis)
                : Optional.empty();
    }

    /** Reports the end of a call. */
    public void endCall(CallGrant grant, CallOutcome outcome, long nowMillis) {
        mCalls.end(grant, outcome, nowMillis);
    }

    /** Returns how the lease of this process last ended. */
    public LeaseEnd lastEnd() {
        return mLastEnd;
    }

    /** Returns the version of the object as last read or written. */
    public long version() {
        return mKnownVersion;
    }

    /** Returns the term as last read or written. */
    public long term() {
        return mKnown.term();
    }

    /** Returns the holder as last read or written, or an empty string if the lease is released. */
    public String holder() {
        return mKnown.released() ? "" : mKnown.holder();
    }

    /** Returns whether the lease's object says nothing of the present holder. */
    public boolean isUnreadable() {
        return mKnown.isUnknown();
    }

    /** Returns the committed payload as last read or written. */
    public String payload() {
        return mKnown.payload();
    }

    /** Returns whether a proposed payload is not yet committed. */
    public boolean hasUncommittedPayload() {
        return mProposedPayload != null && !mProposedPayload.equals(mKnown.payload());
    }

    private LeaseStep nextStepOfHolder(long nowMillis) {
        if (!mWanted) {
            return mCalls.mayRelease(nowMillis)
                    ? requestWrite(mKnown.term(), true, mKnown.payload(), nowMillis)
                    : new LeaseStep.Wait();
        }
        if (!isHeld(nowMillis)) {
            // The lease has expired: it is acquired again under a new term.
            return requestWrite(mKnown.term() + 1, false, mKnown.payload(), nowMillis);
        }
        boolean renewalDue = nowMillis - mSentMillis >= mTiming.renewAfterMillis();
        if (hasUncommittedPayload() || renewalDue) {
            String payload = mProposedPayload == null ? mKnown.payload() : mProposedPayload;
            return requestWrite(mKnown.term(), false, payload, nowMillis);
        }
        return new LeaseStep.Wait();
    }

    private LeaseStep requestRead(long nowMillis) {
        mStepOutstanding = true;
        mLastReadMillis = nowMillis;
        return new LeaseStep.Read();
    }

    private LeaseStep requestWrite(long term, boolean released, String payload, long nowMillis) {
        mStepOutstanding = true;
        mSequence++;
        mSentMillis = nowMillis;
        mInvalidatedSinceSend = false;
        if (released) {
            endValidity(LeaseEnd.RELEASED);
        }
        if (term != mKnown.term()) {
            mProposedPayload = null;
        }
        mPendingWrite = new LeaseRecord(mSelf, mSequence, term, released, payload);
        return new LeaseStep.Write(mKnownVersion, mPendingWrite);
    }

    private void updateKnown(LeaseRecord record, long version, long nowMillis) {
        if (!mVersionIsKnown && version == mKnownVersion && mKnownSinceMillis != Long.MIN_VALUE) {
            mVersionIsKnown = true;
            return;
        }
        if (!isOwn(record)) {
            endValidity(LeaseEnd.TAKEN_OVER);
            mProposedPayload = null;
        }
        if (version != mKnownVersion || mKnownSinceMillis == Long.MIN_VALUE) {
            mKnownSinceMillis = nowMillis;
        }
        if (!isOwn(mKnown) || mKnown.released()) {
            mCalls.onAcquired();
        }
        mKnown = record;
        mKnownVersion = version;
        mVersionIsKnown = true;
    }

    private void extendValidity() {
        if (!mKnown.released() && !mInvalidatedSinceSend) {
            mValidUntilMillis = mSentMillis + mTiming.validityMillis();
            mLastEnd = LeaseEnd.EXPIRED;
        }
    }

    private void endValidity(LeaseEnd end) {
        if (mValidUntilMillis != Long.MIN_VALUE) {
            mLastEnd = end;
        }
        mValidUntilMillis = Long.MIN_VALUE;
    }

    private boolean isOwn(LeaseRecord record) {
        return record.holder().equals(mSelf);
    }

    private boolean isExpired(long nowMillis) {
        return nowMillis - mKnownSinceMillis >= mTiming.takeOverAfterMillis();
    }
}
