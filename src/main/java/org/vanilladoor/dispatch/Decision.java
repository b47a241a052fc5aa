package org.vanilladoor.dispatch;

import java.util.Objects;

/**
 * The decision about a call, with its reason.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @see DispatchCore
 */
public sealed interface Decision {
    /** Returns the call that was decided about. */
    Call call();

    /** Returns the reason as one line of text. */
    String reason();

    /**
     * The call is to be sent to an endpoint now.
     *
     * @param prefillEndpoint endpoint that does the prefill; the same as {@code endpoint} if one
     *     endpoint does both phases
     * @param endpoint endpoint that decodes and sends the response
     */
    record Assigned(Call call, String prefillEndpoint, String endpoint, String reason)
            implements Decision {
        public Assigned {
            Objects.requireNonNull(prefillEndpoint, "prefillEndpoint");
            Objects.requireNonNull(endpoint, "endpoint");
        }

        /** Returns whether prefill and decode run at different endpoints. */
        public boolean isSplit() {
            return !prefillEndpoint.equals(endpoint);
        }
    }

    /**
     * The call is refused; it was not sent to any endpoint.
     *
     * @param kind kind of refusal
     * @param retryAfterSeconds seconds after which a retry may succeed
     */
    record Refused(Call call, RefusalKind kind, int retryAfterSeconds, String reason)
            implements Decision {}

    /** Kinds of refusals. */
    enum RefusalKind {
        /** No endpoint of the pool is in service. */
        NO_ENDPOINT(503, "no-endpoint"),
        /** The call can no longer be completed before its deadline. */
        DEADLINE_NOT_REACHABLE(503, "deadline-not-reachable"),
        /** The team's retries exceed its retry budget. */
        RETRY_BUDGET(429, "retry-budget"),
        /** The wait queue of the pool is full. */
        QUEUE_FULL(429, "queue-full");

        private final int mStatus;
        private final String mType;

        RefusalKind(int status, String type) {
            mStatus = status;
            mType = type;
        }

        /** Returns the HTTP status of the refusal. */
        public int status() {
            return mStatus;
        }

        /** Returns the machine-readable type of the problem. */
        public String type() {
            return mType;
        }
    }
}
