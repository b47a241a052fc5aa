package org.vanilladoor.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.SendPermit;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.UnreadableObjects;

/**
 * Carries out the steps of a {@link LeaseCore} against the object store, and makes the calls that
 * the lease permits.
 *
 * <p>Invariants: each step is carried out once and its result is reported once; the permits of all
 * open calls are revoked when the lease ceases to be held, which it does when the store begins a
 * new era. Confined to the control thread.
 */
public final class LeaseDriver {
    private static final Logger LOG = LogManager.getLogger(LeaseDriver.class);
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    /**
     * How far the wall clock may advance relative to the monotonic clock between two checks before
     * the VM counts as having been suspended.
     */
    private static final long SUSPENSION_THRESHOLD_MILLIS = 100;

    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final String mObject;
    private final LeaseCore mCore;
    private final UnreadableObjects mUnreadableObjects = UnreadableObjects.create();
    private final Map<CallGrant, SendPermit> mOpenCalls = new HashMap<>();
    private boolean mWasHeld;
    private long mHeldTerm;
    private boolean mWasUnreadable;
    private long mLastClockDriftMillis = clockDriftMillis();
    private long mEra;

    private LeaseDriver(ControlLoop control, ObjectStore store, String object, LeaseCore core) {
        mControl = control;
        mStore = store;
        mObject = object;
        mCore = core;
    }

    /**
     * Starts acquiring and renewing a lease on the control thread.
     *
     * @param object name of the lease's stored object
     * @param core decides on the steps
     */
    public static LeaseDriver start(
            ControlLoop control, ObjectStore store, String object, LeaseCore core) {
        LeaseDriver driver = new LeaseDriver(control, store, object, core);
        control.scheduleWithFixedDelay(TICK_PERIOD, driver::tick);
        return driver;
    }

    /**
     * Returns whether the lease is held now, by both the monotonic and the wall clock.
     *
     * <p>Has to be called immediately before each action that requires the lease.
     */
    public boolean isHeld() {
        invalidateIfDoubtful();
        return mCore.isHeld(MonotonicClock.nowMillis());
    }

    /** Returns whether a call under the lease may begin now. */
    public boolean mayCall() {
        invalidateIfDoubtful();
        return mCore.mayCall(MonotonicClock.nowMillis());
    }

    /**
     * Makes a call under the lease, or fails with {@link LeaseNotHeldException} if none may begin
     * now.
     *
     * @param name description of the call, for the log
     * @param call sends the call within its permit; its future completes on the control thread
     */
    public <T> CompletableFuture<T> call(
            String name, Function<LeasePermit, CompletableFuture<T>> call) {
        invalidateIfDoubtful();
        // Read first, so that a pause of this thread shortens the permit.
        long expiryMillis = ExpiryClock.nowMillis();
        long nowMillis = MonotonicClock.nowMillis();
        Optional<CallGrant> begun = mCore.beginCall(nowMillis);
        if (begun.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new LeaseNotHeldException("the lease does not permit a call now"));
        }
        CallGrant grant = begun.get();
        SendPermit permit = SendPermit.until(expiryMillis + grant.endMillis() - nowMillis);
        mOpenCalls.put(grant, permit);
        EventLog.write(
                "lease",
                "call.begun",
                "call",
                name,
                "number",
                grant.identifier(),
                "term",
                grant.term(),
                "permitted_ms",
                grant.endMillis() - nowMillis);
        return send(call, new LeasePermit(grant.term(), permit))
                .whenComplete((result, failure) -> onCallEnded(grant, name, nowMillis, failure));
    }

    private static <T> CompletableFuture<T> send(
            Function<LeasePermit, CompletableFuture<T>> call, LeasePermit permit) {
        try {
            return call.apply(permit);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void onCallEnded(CallGrant grant, String name, long begunMillis, Throwable failure) {
        long nowMillis = MonotonicClock.nowMillis();
        CallOutcome outcome = CallOutcome.of(failure);
        mOpenCalls.remove(grant);
        mCore.endCall(grant, outcome, nowMillis);
        EventLog.write(
                "lease",
                "call.ended",
                "call",
                name,
                "number",
                grant.identifier(),
                "term",
                grant.term(),
                "outcome",
                outcome,
                "took_ms",
                nowMillis - begunMillis,
                "reason",
                failure == null ? "-" : failure.getMessage());
    }

    /** Starts the next step, if there is one. */
    public void tick() {
        invalidateIfDoubtful();
        long nowMillis = MonotonicClock.nowMillis();
        if (!mCore.isHeld(nowMillis)) {
            revokeOpenCalls();
        }
        logChange(nowMillis);
        LeaseStep step = mCore.nextStep(nowMillis);
        if (step instanceof LeaseStep.Read) {
            mStore.read(mObject).whenCompleteAsync(this::onRead, mControl::execute);
        } else if (step instanceof LeaseStep.Write write) {
            mStore.write(mObject, write.expectedVersion(), Json.write(write.record()))
                    .whenCompleteAsync(this::onWritten, mControl::execute);
        }
    }

    private void onRead(Optional<StoredObject> found, Throwable failure) {
        if (failure != null) {
            mCore.onReadFailed();
            return;
        }
        try {
            mCore.onRead(found, mStore.era(), MonotonicClock.nowMillis());
            tick();
        } catch (RuntimeException e) {
            if (mUnreadableObjects.add(mObject, found.map(StoredObject::version).orElse(0L))) {
                LOG.error("lease: Object {} can't be read: {}.", mObject, e.getMessage());
            }
            mCore.onReadFailed();
        }
    }

    private void onWritten(Long version, Throwable failure) {
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            EventLog.write(
                    "lease", "write.failed", "object", mObject, "reason", cause.getMessage());
            mCore.onWriteFailed();
        } else {
            mCore.onWritten(version, MonotonicClock.nowMillis());
        }
    }

    /** Invalidates the lease after an event that may have let another process acquire it. */
    private void invalidateIfDoubtful() {
        invalidateAfterSuspension();
        invalidateInNewEra();
    }

    /** Invalidates the lease once the store has returned from a copy that may lack it. */
    private void invalidateInNewEra() {
        if (mStore.era() != mEra) {
            mEra = mStore.era();
            mCore.invalidate();
            revokeOpenCalls();
        }
    }

    /** Invalidates the lease after a suspension, which the monotonic clock may not have counted. */
    private void invalidateAfterSuspension() {
        long driftMillis = clockDriftMillis();
        if (driftMillis - mLastClockDriftMillis > SUSPENSION_THRESHOLD_MILLIS) {
            EventLog.write(
                    "lease",
                    "clock.jumped",
                    "object",
                    mObject,
                    "by_ms",
                    driftMillis - mLastClockDriftMillis);
            mCore.invalidate();
            revokeOpenCalls();
        }
        mLastClockDriftMillis = driftMillis;
    }

    private void revokeOpenCalls() {
        // A revoked call may end at once.
        List.copyOf(mOpenCalls.values()).forEach(SendPermit::revoke);
    }

    private static long clockDriftMillis() {
        return ExpiryClock.nowMillis() - MonotonicClock.nowMillis();
    }

    private void logChange(long nowMillis) {
        boolean held = mCore.isHeld(nowMillis);
        if (held) {
            mHeldTerm = mCore.term();
        }
        if (held && !mWasHeld) {
            EventLog.write(
                    "lease",
                    "held",
                    "object",
                    mObject,
                    "term",
                    mHeldTerm,
                    "version",
                    mCore.version());
        } else if (!held && mWasHeld) {
            EventLog.write(
                    "lease",
                    "lost",
                    "object",
                    mObject,
                    "term",
                    mHeldTerm,
                    "reason",
                    mCore.lastEnd(),
                    "holder",
                    mCore.holder());
        }
        mWasHeld = held;
        if (mCore.isUnreadable() && !mWasUnreadable) {
            EventLog.write("lease", "holder.unknown", "object", mObject, "term", mCore.term());
        }
        mWasUnreadable = mCore.isUnreadable();
    }
}
