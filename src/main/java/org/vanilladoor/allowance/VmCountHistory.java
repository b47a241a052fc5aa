package org.vanilladoor.allowance;

import java.util.ArrayDeque;
import java.util.Deque;

/** The numbers of live VMs that a VM may know at present. Confined to the control thread. */
final class VmCountHistory {
    /** Longest time until all VMs know a new number. */
    private static final long KNOWN_MILLIS = 8_000;

    private final Deque<Count> mCounts = new ArrayDeque<>();
    private int mLowest = 1;
    private int mHighest = 1;

    void record(int vmCount, long nowMillis) {
        Count last = mCounts.peekLast();
        boolean hasChanged = last == null || last.mVmCount != vmCount;
        if (hasChanged) {
            if (last != null) {
                last.mEndMillis = nowMillis;
            }
            mCounts.add(new Count(vmCount));
        }
        boolean hasEnded = false;
        while (mCounts.peek().mEndMillis < nowMillis - KNOWN_MILLIS) {
            mCounts.remove();
            hasEnded = true;
        }
        if (hasChanged || hasEnded) {
            mLowest = mCounts.stream().mapToInt(count -> count.mVmCount).min().getAsInt();
            mHighest = mCounts.stream().mapToInt(count -> count.mVmCount).max().getAsInt();
        }
    }

    int lowest() {
        return mLowest;
    }

    int highest() {
        return mHighest;
    }

    /** A number and when another one came. */
    private static final class Count {
        private final int mVmCount;
        private long mEndMillis = Long.MAX_VALUE;

        Count(int vmCount) {
            mVmCount = vmCount;
        }
    }
}
