package org.vanilladoor.common;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * The memory that a process holds for the messages of its callers and endpoints.
 *
 * <p>Invariant: an account grows only while it holds no more than what remains free. A single one
 * can take half of the budget, and each of {@code n} equal ones {@code 1 / (n + 1)}, so that there
 * is always room for small messages, however many large ones there are. Safe for use by any thread.
 */
public final class MemoryBudget {
    /** Share of the heap that messages may take; the rest is for copies and for all other data. */
    private static final int HEAP_SHARE_DIVISOR = 4;

    /** Minimum interval between log lines about a budget that is spent. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Share of the budget below which it is nearly spent. */
    private static final int FREE_SHARE_DIVISOR = 4;

    private final long mCapacityBytes;
    private final Map<Use, Long> mHeldBytes = new EnumMap<>(Use.class);
    private final Map<Use, Long> mRejections = new EnumMap<>(Use.class);
    private long mTotalBytes;
    private long mNextLogMillis = Long.MIN_VALUE;

    private MemoryBudget(long capacityBytes) {
        mCapacityBytes = capacityBytes;
        for (Use use : Use.values()) {
            mHeldBytes.put(use, 0L);
            mRejections.put(use, 0L);
        }
    }

    /** Returns a budget of the given size, of which nothing is held. */
    public static MemoryBudget of(long capacityBytes) {
        return new MemoryBudget(capacityBytes);
    }

    /** Returns a budget of the share of the maximum heap that is meant for messages. */
    public static MemoryBudget ofHeap() {
        return of(Runtime.getRuntime().maxMemory() / HEAP_SHARE_DIVISOR);
    }

    public long capacityBytes() {
        return mCapacityBytes;
    }

    /** Opens an account that holds nothing. */
    public Account open(Use use) {
        return new Account(Objects.requireNonNull(use, "use"));
    }

    /** Returns the bytes held for one use. */
    public synchronized long heldBytes(Use use) {
        return mHeldBytes.get(use);
    }

    /** Returns whether so much is held that messages of usual size may find no room. */
    public synchronized boolean isNearlySpent() {
        return mTotalBytes > mCapacityBytes - mCapacityBytes / FREE_SHARE_DIVISOR;
    }

    /** Returns how often an account was not allowed to grow for one use. */
    public synchronized long rejections(Use use) {
        return mRejections.get(use);
    }

    private void add(Use use, long bytes) {
        mHeldBytes.merge(use, bytes, Long::sum);
        mTotalBytes += bytes;
    }

    private void recordRejection(Use use, long bytes) {
        mRejections.merge(use, 1L, Long::sum);
        long nowMillis = MonotonicClock.nowMillis();
        if (nowMillis < mNextLogMillis) {
            return;
        }
        mNextLogMillis = nowMillis + LOG_INTERVAL_MILLIS;
        EventLog.write(
                "memory",
                "rejected",
                "use",
                use,
                "bytes",
                bytes,
                "held",
                mTotalBytes,
                "capacity",
                mCapacityBytes);
    }

    /** What memory is held for. */
    public enum Use {
        /** Heads of callers' requests, until the responses have been written. */
        REQUEST_HEAD,
        /** Bodies of callers' requests, until the requests have ended. */
        REQUEST_BODY,
        /** Parts of responses that the control thread has not handled. */
        RESPONSE_INPUT,
        /** Bodies and events that are incomplete. */
        RESPONSE_BODY,
        /** Output that callers have not read. */
        RESPONSE_OUTPUT,
        /** Responses to this system's own calls, and what they are decoded into. */
        CONTROL_RESPONSE
    }

    /**
     * The bytes that one owner holds. As safe for use by any thread as its budget.
     *
     * <p>Invariant: a closed account holds nothing and stays so.
     */
    public final class Account implements AutoCloseable {
        private final Use mUse;
        private long mBytes;
        private boolean mClosed;

        private Account(Use use) {
            mUse = use;
        }

        /**
         * Sets the number of bytes that the owner holds, unless that is more than what would remain
         * free.
         *
         * @return whether the number was set
         */
        public boolean tryResize(long bytes) {
            synchronized (MemoryBudget.this) {
                boolean isAllowed =
                        bytes <= mBytes || bytes <= mCapacityBytes - (mTotalBytes - mBytes + bytes);
                if (isAllowed) {
                    resize(bytes);
                } else {
                    recordRejection(mUse, bytes);
                }
                return isAllowed;
            }
        }

        /** Sets the number of bytes that the owner holds, whatever remains free. */
        public void resize(long bytes) {
            synchronized (MemoryBudget.this) {
                if (!mClosed) {
                    add(mUse, bytes - mBytes);
                    mBytes = bytes;
                }
            }
        }

        /** Gives all bytes back. */
        @Override
        public void close() {
            synchronized (MemoryBudget.this) {
                resize(0);
                mClosed = true;
            }
        }
    }
}
