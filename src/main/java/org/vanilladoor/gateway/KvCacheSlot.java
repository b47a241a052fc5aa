package org.vanilladoor.gateway;

import java.util.Optional;

/**
 * The KV cache of a request's prompt that waits to be fetched by the engine of its run.
 *
 * <p>Invariant: a cache is in the slot or in one call, never in both. Confined to the control
 * thread.
 */
final class KvCacheSlot {
    private Optional<KvCacheReference> mKept = Optional.empty();
    private Optional<KvCacheReference> mInCall = Optional.empty();

    /** Returns a slot without a cache. */
    static KvCacheSlot empty() {
        return new KvCacheSlot();
    }

    private KvCacheSlot() {}

    Optional<KvCacheReference> kept() {
        return mKept;
    }

    /** Returns the failure domain of the engine that holds the cache. */
    Optional<String> failureDomain() {
        return mKept.map(kvCache -> kvCache.endpoint().failureDomain());
    }

    void keep(KvCacheReference kvCache) {
        mKept = Optional.of(kvCache);
    }

    /** Hands the cache to a call. */
    Optional<KvCacheReference> takeForCall() {
        mInCall = mKept;
        mKept = Optional.empty();
        return mInCall;
    }

    /** Takes the cache back from a call that never reached its endpoint. */
    void reclaim() {
        mKept = mInCall;
        mInCall = Optional.empty();
    }

    /** Asks the engine that holds the cache to release it, if it was not fetched. */
    void release(GatewayContext context) {
        mKept.ifPresent(kvCache -> EndpointExchange.releaseKvCache(context, kvCache));
        mKept = Optional.empty();
    }
}
