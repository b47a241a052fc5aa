package org.vanilladoor.exchange;

import org.vanilladoor.allowance.GrantReply;

/**
 * What the holder of the fleet lease answers to a heartbeat.
 *
 * <p>Immutable and safe for use by any thread.
 */
sealed interface HeartbeatResponse {
    /** The heartbeat was handled. */
    record Granted(GrantReply reply) implements HeartbeatResponse {}

    /**
     * The heartbeat was refused.
     *
     * @param reason why
     * @param sequence sequence number of the refused heartbeat
     */
    record Refused(Reason reason, long sequence) implements HeartbeatResponse {}

    /** Why a heartbeat is refused. */
    enum Reason {
        /** The heartbeat does not carry the fleet's secret. */
        WRONG_SECRET(1),
        /** The process that got it does not hold the fleet lease. */
        NOT_HOLDER(2),
        /** A reason of a later version. */
        OTHER(0);

        private final int mNumber;

        Reason(int number) {
            mNumber = number;
        }

        int number() {
            return mNumber;
        }

        static Reason of(int number) {
            for (Reason reason : values()) {
                if (reason.mNumber == number) {
                    return reason;
                }
            }
            return OTHER;
        }
    }
}
