package org.vanilladoor.standin;

/**
 * The faults that the stand-in platform simulates.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param objectsDown whether all requests to the object API fail
 * @param usageDown whether all requests about usage reports fail
 * @param ordersDown whether all requests about orders fail
 * @param answerDelayMillis delay before each request is processed, in milliseconds
 * @param loseEveryNthAnswer every n-th write of an object fails after it took effect, as if its
 *     response was lost; 0 disables this fault
 */
public record PlatformFaults(
        boolean objectsDown,
        boolean usageDown,
        boolean ordersDown,
        int answerDelayMillis,
        int loseEveryNthAnswer) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, false, false, 0, 0);
}
