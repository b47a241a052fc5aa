package org.vanilladoor.authority;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
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
    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final String mObject;
    private final LeaseCore mCore;
    private boolean mHeldBefore;

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
        control.repeat(PULSE, keeper::pulse);
        return keeper;
    }

    /** Takes the next step, if there is one. */
    public void pulse() {
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

    private void logChange(long now) {
        boolean held = mCore.isHeld(now);
        if (held != mHeldBefore) {
            LOG.info("lease: {} is {}, term {}.", mObject, held ? "held" : "lost", mCore.term());
            mHeldBefore = held;
        }
    }
}
