package org.vanilladoor.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The shares of repeats of all services.
 *
 * <p>Belongs to the control thread.
 */
public final class LocalRetryBudgets {
    private final Map<String, RetryShare> mShares = new HashMap<>();
    private final double mRatio;
    private final double mExtra;
    private final long mWindowMillis;

    private LocalRetryBudgets(double ratio, double extra, long windowMillis) {
        mRatio = ratio;
        mExtra = extra;
        mWindowMillis = windowMillis;
    }

    /**
     * Returns shares of services that nothing was sent to.
     *
     * @param ratio repeats allowed for each first try
     * @param extra repeats allowed besides, for all VMs in one window
     * @param windowMillis length of the window
     */
    public static LocalRetryBudgets create(double ratio, double extra, long windowMillis) {
        return new LocalRetryBudgets(ratio, extra, windowMillis);
    }

    /** Returns the share of a service. */
    RetryShare of(String service) {
        return mShares.computeIfAbsent(
                service, name -> RetryShare.create(mRatio, mExtra, mWindowMillis));
    }
}
