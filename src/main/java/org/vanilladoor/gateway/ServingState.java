package org.vanilladoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.route.ServingConfiguration;

/**
 * The state that decides whether requests are served: the configuration in force and the time of
 * its last confirmation, whether endpoints are listed, and whether the process is stopping.
 *
 * <p>Invariants: the configuration version never decreases. At the confirmation time, the version
 * in force was the newest one in the store. The setters are confined to the control thread; {@link
 * #markStopping} and the queries are safe for use by any thread.
 */
public final class ServingState {
    /**
     * Time after the start of a shutdown during which requests are still accepted. The load
     * balancer checks readiness once a second and removes a VM after two failed checks.
     */
    public static final long ACCEPT_AFTER_STOP_MILLIS = 2_500;

    private volatile ServingConfiguration mConfiguration;
    private volatile long mConfirmedMillis;
    private volatile boolean mEndpointsListed;
    private volatile boolean mStopping;
    private volatile long mStoppedMillis;
    private volatile int mVmCount = Integer.MAX_VALUE;
    private final CompletableFuture<Void> mInitialized = new CompletableFuture<>();

    private ServingState() {}

    /** Returns a state without a configuration and without endpoints. */
    public static ServingState create() {
        return new ServingState();
    }

    /**
     * Puts a configuration in force if its version is higher than that of the present one.
     *
     * @return whether the configuration was put in force
     */
    public boolean applyIfNewer(ServingConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return false;
        }
        mConfiguration = configuration;
        completeIfInitialized();
        return true;
    }

    /**
     * Records that the store confirmed the configuration in force as the newest.
     *
     * @param confirmedMillis time at which it was the newest, from {@link ExpiryClock}
     */
    public void confirmNewest(long confirmedMillis) {
        mConfirmedMillis = Math.max(mConfirmedMillis, confirmedMillis);
    }

    /** Records that the endpoints have been listed. */
    public void markEndpointsListed() {
        mEndpointsListed = true;
        completeIfInitialized();
    }

    private void completeIfInitialized() {
        if (mConfiguration != null && mEndpointsListed) {
            mInitialized.complete(null);
        }
    }

    /**
     * Returns a future that completes on the control thread once a configuration is in force and
     * the endpoints have been listed.
     */
    public CompletableFuture<Void> whenInitialized() {
        return mInitialized.copy();
    }

    /** Records that the process is stopping. */
    public void markStopping() {
        mStoppedMillis = MonotonicClock.nowMillis();
        mStopping = true;
    }

    /** Sets the number of VMs that may be serving. */
    public void setVmCount(int vmCount) {
        mVmCount = vmCount;
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return Optional.ofNullable(mConfiguration);
    }

    /** Returns the time since the configuration was last confirmed as the newest. */
    public long confirmationAgeMillis() {
        return ExpiryClock.nowMillis() - mConfirmedMillis;
    }

    /** Returns whether requests can be served and the process is not stopping. */
    public boolean isReady() {
        return mConfiguration != null && mEndpointsListed && !mStopping;
    }

    /** Returns whether the process is stopping. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns whether the process is stopping and no longer accepts requests. */
    public boolean isRefusingRequests() {
        return mStopping && MonotonicClock.nowMillis() - mStoppedMillis > ACCEPT_AFTER_STOP_MILLIS;
    }

    /** Returns the number of VMs that may be serving; very large until it is known. */
    public int vmCount() {
        return mVmCount;
    }
}
