package org.vanilladoor.dispatch;

import java.util.function.BiConsumer;

/**
 * How a call ended at its endpoint.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Outcome {
    /** The endpoint gave a whole answer. */
    COMPLETED((state, now) -> state.succeed()),
    /** The caller left or the call was ended from this side. */
    CANCELLED((state, now) -> {}),
    /** The endpoint failed. */
    FAILED(EndpointState::fail);

    private final BiConsumer<EndpointState, Long> mEffect;

    Outcome(BiConsumer<EndpointState, Long> effect) {
        mEffect = effect;
    }

    void apply(EndpointState state, long nowMillis) {
        mEffect.accept(state, nowMillis);
    }
}
