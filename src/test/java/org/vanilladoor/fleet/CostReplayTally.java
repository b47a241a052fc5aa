package org.vanilladoor.fleet;

import java.util.ArrayList;
import java.util.List;

/** Times of one class of requests. */
final class CostReplayTally {
    private final List<Double> mMillis = new ArrayList<>();
    private int mOnTime;
    private int mRefused;

    void add(double millis, double objectiveMillis) {
        mMillis.add(millis);
        mOnTime += millis <= objectiveMillis ? 1 : 0;
    }

    void addRefused() {
        mRefused++;
    }

    /** Returns the number of requests that were served. */
    int served() {
        return mMillis.size();
    }

    double onTimePart() {
        return mOnTime / (double) Math.max(1, mMillis.size() + mRefused);
    }

    double quantile(double part) {
        double[] sorted = mMillis.stream().mapToDouble(each -> each).sorted().toArray();
        return sorted[(int) (sorted.length * part)];
    }
}
