package org.vanilladoor.dispatch;

import java.util.Objects;

/**
 * What was decided about a call, with the reason.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @see DispatchCore
 */
public sealed interface Decision {
    /** Returns the call. */
    Call call();

    /** Returns the reason in one line. */
    String reason();

    /**
     * The call goes to an endpoint now.
     *
     * @param prefillEndpoint endpoint that reads the prompt; the same as {@code endpoint} if one
     *     does all
     * @param endpoint endpoint that answers
     */
    record Assigned(Call call, String prefillEndpoint, String endpoint, String reason)
            implements Decision {
        public Assigned {
            Objects.requireNonNull(prefillEndpoint, "prefillEndpoint");
            Objects.requireNonNull(endpoint, "endpoint");
        }

        /** Returns whether one endpoint reads the prompt and another answers. */
        public boolean isSplit() {
            return !prefillEndpoint.equals(endpoint);
        }
    }

    /**
     * The call is refused and was handed to nobody.
     *
     * @param kind kind of refusal
     * @param retryAfterSeconds seconds after which a retry may help
     */
    record Refused(Call call, RefusalKind kind, int retryAfterSeconds, String reason)
            implements Decision {}

    /** Kinds of refusals. */
    enum RefusalKind {
        /** No endpoint serves the pool. */
        NO_ENDPOINT(503, "no-endpoint"),
        /** The target can't be met any more. */
        TOO_LATE(503, "deadline-not-reachable"),
        /** The team repeats more than its budget allows. */
        RETRY_BUDGET(429, "retry-budget"),
        /** The queue is full. */
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

        /** Returns the machine-readable kind of the problem. */
        public String type() {
            return mType;
        }
    }
}
