package org.vanilladoor.dispatch;

import java.util.function.BiConsumer;

/**
 * How a call ended at its endpoint.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Outcome {
    /** The endpoint sent a complete response. */
    COMPLETED((state, now) -> state.recordSuccess()),
    /** The caller disconnected or this process cancelled the call. */
    CANCELLED((state, now) -> {}),
    /** The endpoint failed to serve the call. */
    FAILED(EndpointState::recordFailure);

    private final BiConsumer<EndpointState, Long> mEffect;

    Outcome(BiConsumer<EndpointState, Long> effect) {
        mEffect = effect;
    }

    void applyTo(EndpointState state, long nowMillis) {
        mEffect.accept(state, nowMillis);
    }
}
