package org.vanilladoor.stream;

import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * Shortest time between two calls of a VM, which grows with the number of VMs so that the calls of
 * all of them together stay within the store's rates.
 *
 * <p>Safe for use by any thread if the number of VMs is.
 *
 * @param minimumMillis shortest time, in milliseconds
 * @param millisPerVm shortest time per VM, in milliseconds
 * @param vmCount supplies the number of VMs, or {@link Integer#MAX_VALUE} while it is unknown
 */
record CallPace(long minimumMillis, long millisPerVm, IntSupplier vmCount) {
    /** Number of VMs that is assumed until theirs is known. */
    private static final int ASSUMED_VM_COUNT = 10;

    /** Returns whether a call may begin, if the one before it began at the given time. */
    boolean allows(OptionalLong lastMillis, long nowMillis) {
        return lastMillis.isEmpty() || nowMillis - lastMillis.getAsLong() >= millis();
    }

    private long millis() {
        int number = vmCount.getAsInt();
        return Math.max(
                minimumMillis,
                millisPerVm * (number == Integer.MAX_VALUE ? ASSUMED_VM_COUNT : number));
    }
}
