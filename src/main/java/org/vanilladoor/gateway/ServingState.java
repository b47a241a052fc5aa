package org.vanilladoor.gateway;

import java.util.Optional;
import org.vanilladoor.common.ExpiryClock;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.route.ServingConfiguration;

/**
 * What requests are judged by: the configuration in force and how well it is confirmed.
 *
 * <p>Invariants: the version never falls; the confirmation is the time at which a question was sent
 * whose answer said that this version is the newest. Belongs to the control thread, but for the
 * queries, which any thread may ask.
 */
public final class ServingState {
    /**
     * Time after a stop in which requests are still taken, in milliseconds: the balancer asks once
     * a second and takes a VM out after two misses.
     */
    public static final long ACCEPT_AFTER_STOP_MILLIS = 2_500;

    private volatile ServingConfiguration mConfiguration;
    private volatile long mConfirmedMillis;
    private volatile boolean mEndpointsKnown;
    private volatile boolean mStopping;
    private volatile long mStoppedMillis;
    private volatile int mMachines = Integer.MAX_VALUE;

    private ServingState() {}

    /** Returns the state of a process that knows nothing. */
    public static ServingState create() {
        return new ServingState();
    }

    /**
     * Takes a configuration unless a later one is in force.
     *
     * @return whether it is in force now
     */
    public boolean applyIfNewer(ServingConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return false;
        }
        mConfiguration = configuration;
        return true;
    }

    /**
     * Notes that the configuration in force was the newest.
     *
     * @param askedMillis when the question was sent, by {@link ExpiryClock}
     */
    public void confirmNewest(long askedMillis) {
        mConfirmedMillis = Math.max(mConfirmedMillis, askedMillis);
    }

    /** Notes that the endpoints have been listed. */
    public void markEndpointsListed() {
        mEndpointsKnown = true;
    }

    /** Notes that the process is to stop. */
    public void markStopping() {
        mStoppedMillis = MonotonicClock.nowMillis();
        mStopping = true;
    }

    /** Notes how many VMs serve. */
    public void setVmCount(int machines) {
        mMachines = machines;
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return Optional.ofNullable(mConfiguration);
    }

    /** Returns how long ago the configuration was known to be the newest, in milliseconds. */
    public long confirmationAgeMillis() {
        return ExpiryClock.nowMillis() - mConfirmedMillis;
    }

    /** Returns whether requests can be served and the process is to go on. */
    public boolean isReady() {
        return mConfiguration != null && mEndpointsKnown && !mStopping;
    }

    /** Returns whether the process is to stop. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns whether the process is to stop and callers have had time to go elsewhere. */
    public boolean isRefusingRequests() {
        return mStopping && MonotonicClock.nowMillis() - mStoppedMillis > ACCEPT_AFTER_STOP_MILLIS;
    }

    /** Returns how many VMs may be serving. */
    public int vmCount() {
        return mMachines;
    }
}
