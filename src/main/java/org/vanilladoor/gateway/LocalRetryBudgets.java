package org.vanilladoor.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The local retry budgets of all services.
 *
 * <p>Confined to the control thread.
 */
public final class LocalRetryBudgets {
    private final Map<String, LocalRetryBudget> mBudgets = new HashMap<>();
    private final double mRatio;
    private final double mExtra;
    private final long mWindowMillis;
    private final long mStartMillis;

    private LocalRetryBudgets(double ratio, double extra, long windowMillis, long startMillis) {
        mRatio = ratio;
        mExtra = extra;
        mWindowMillis = windowMillis;
        mStartMillis = startMillis;
    }

    /**
     * Returns budgets for services to which nothing was sent yet.
     *
     * @param ratio retries allowed for each first attempt
     * @param extra additional retries allowed for all VMs together in one window
     * @param windowMillis length of the window
     * @param startMillis start of this process, from {@link org.vanilladoor.common.MonotonicClock}
     */
    public static LocalRetryBudgets create(
            double ratio, double extra, long windowMillis, long startMillis) {
        return new LocalRetryBudgets(ratio, extra, windowMillis, startMillis);
    }

    /** Returns the budget of a service, creating it if necessary. */
    LocalRetryBudget forService(String service) {
        return mBudgets.computeIfAbsent(
                service,
                name -> LocalRetryBudget.create(mRatio, mExtra, mWindowMillis, mStartMillis));
    }
}
