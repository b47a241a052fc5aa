package org.vanilladoor.authority;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * Carries out the steps of a lease's core on the platform.
 *
 * <p>Invariant: each step is carried out once and answered once. Belongs to the control thread.
 */
public final class LeaseKeeper {
    private static final Logger LOG = LogManager.getLogger(LeaseKeeper.class);
    private static final Duration PULSE = Duration.ofMillis(100);

    /** Advance of the wall clock over the monotonic one that counts as a suspension. */
    private static final long SUSPENSION_MILLIS = 100;

    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final String mObject;
    private final LeaseCore mCore;
    private boolean mHeldBefore;
    private long mClockDriftMillis = clockDriftMillis();

    private LeaseKeeper(ControlLoop control, ObjectStore store, String object, LeaseCore core) {
        mControl = control;
        mStore = store;
        mObject = object;
        mCore = core;
    }

    /**
     * Starts to keep a lease.
     *
     * @param object name of the lease's object
     * @param core decides the steps
     */
    public static LeaseKeeper start(
            ControlLoop control, ObjectStore store, String object, LeaseCore core) {
        LeaseKeeper keeper = new LeaseKeeper(control, store, object, core);
        control.scheduleWithFixedDelay(PULSE, keeper::pulse);
        return keeper;
    }

    /**
     * Returns whether the lease is held now, by every clock of this VM.
     *
     * <p>To be asked right before each act under the lease.
     */
    public boolean isHeld() {
        distrustAfterSuspension();
        return mCore.isHeld(MonotonicClock.nowMillis());
    }

    /** Takes the next step, if there is one. */
    public void pulse() {
        distrustAfterSuspension();
        long now = MonotonicClock.nowMillis();
        logChange(now);
        LeaseStep step = mCore.next(now);
        if (step instanceof LeaseStep.Read) {
            mStore.read(mObject).whenCompleteAsync(this::read, mControl::execute);
        } else if (step instanceof LeaseStep.Write write) {
            mStore.write(mObject, write.expectedVersion(), Json.write(write.record()))
                    .whenCompleteAsync(this::written, mControl::execute);
        }
    }

    private void read(Optional<StoredObject> found, Throwable failure) {
        if (failure != null) {
            mCore.readFailed();
            return;
        }
        try {
            mCore.read(found, MonotonicClock.nowMillis());
            pulse();
        } catch (RuntimeException e) {
            LOG.error("lease: Object {} can't be read: {}.", mObject, e.getMessage());
            mCore.readFailed();
        }
    }

    private void written(Long version, Throwable failure) {
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            LOG.debug("lease: A write of {} failed: {}.", mObject, cause.getMessage());
            mCore.writeFailed();
        } else {
            mCore.written(version, MonotonicClock.nowMillis());
        }
    }

    /** Gives the lease up if time has passed that the monotonic clock may not have counted. */
    private void distrustAfterSuspension() {
        long drift = clockDriftMillis();
        if (drift - mClockDriftMillis > SUSPENSION_MILLIS) {
            EventLog.write(
                    "lease", "clock.jumped", "object", mObject, "by_ms", drift - mClockDriftMillis);
            mCore.distrust();
        }
        mClockDriftMillis = drift;
    }

    private static long clockDriftMillis() {
        return ExpiryClock.nowMillis() - MonotonicClock.nowMillis();
    }

    private void logChange(long now) {
        boolean held = mCore.isHeld(now);
        if (held != mHeldBefore) {
            EventLog.write(
                    "lease", held ? "held" : "lost", "object", mObject, "term", mCore.term());
            mHeldBefore = held;
        }
    }
}
