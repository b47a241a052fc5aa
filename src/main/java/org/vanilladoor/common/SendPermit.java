package org.vanilladoor.common;

import java.util.ArrayList;
import java.util.List;

/**
 * Permission to send a call, and to have it under way, until a given time.
 *
 * <p>Invariants: a permission that has ended never becomes valid again; each action that is
 * registered runs at most once, when the permission is revoked. The time passes as on the {@link
 * ExpiryClock}, so that the suspension of a VM counts. Safe for use by any thread.
 */
public final class SendPermit {
    /** Permission that never ends. */
    public static final SendPermit UNLIMITED = new SendPermit(Long.MAX_VALUE);

    private final long mEndMillis;
    private final List<Runnable> mActions = new ArrayList<>();
    private boolean mRevoked;

    private SendPermit(long endMillis) {
        mEndMillis = endMillis;
    }

    /** Returns a permission that ends at the given time of the {@link ExpiryClock}. */
    public static SendPermit until(long endMillis) {
        return new SendPermit(endMillis);
    }

    /** Returns whether a call may be sent now. */
    public boolean isValid() {
        return remainingMillis() > 0;
    }

    /** Returns the time until the permission ends, in milliseconds; 0 if it has ended. */
    public synchronized long remainingMillis() {
        if (mEndMillis == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return mRevoked ? 0 : Math.max(0, mEndMillis - ExpiryClock.nowMillis());
    }

    /** Ends the permission and runs the registered actions. */
    public void revoke() {
        List<Runnable> actions;
        synchronized (this) {
            mRevoked = true;
            actions = List.copyOf(mActions);
            mActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    /**
     * Registers an action for when the permission is revoked; it does not run when the time is
     * over, and not if the permission was revoked before.
     */
    public synchronized void onRevoked(Runnable action) {
        if (mEndMillis != Long.MAX_VALUE) {
            mActions.add(action);
        }
    }
}
