package org.vanilladoor.transport;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.common.HostPort;

/**
 * Peers that have lately mixed up the responses on a connection, so that none is kept.
 *
 * <p>Time is passed in as an argument. Confined to the control thread.
 */
final class DistrustedPeers {
    /** Time without an anomaly after which a peer's connections are kept again. */
    static final long DISTRUST_MILLIS = 30_000;

    private final Map<HostPort, Long> mUntilMillis = new HashMap<>();

    private DistrustedPeers() {}

    /** Returns a set without peers. */
    static DistrustedPeers create() {
        return new DistrustedPeers();
    }

    void add(HostPort peer, long nowMillis) {
        mUntilMillis.put(peer, nowMillis + DISTRUST_MILLIS);
    }

    boolean contains(HostPort peer, long nowMillis) {
        return mUntilMillis.getOrDefault(peer, nowMillis) > nowMillis;
    }

    void removeExpired(long nowMillis) {
        mUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    }
}
