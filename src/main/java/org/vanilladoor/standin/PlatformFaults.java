package org.vanilladoor.standin;

/**
 * The faults that the stand-in platform shows.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param objectsDown whether the object API answers nothing
 * @param usageDown whether usage reports are not taken
 * @param ordersDown whether orders are not taken
 * @param answerDelayMillis how long every answer takes
 * @param loseEveryNthAnswer loses the answer of every n-th write after it took effect; 0 for none
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
