package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.vanilladoor.transport.DistrustedPeers.DISTRUST_MILLIS;

import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;

/** Peers that have lately mixed up their responses. */
class DistrustedPeersTests {
    private static final HostPort PEER = new HostPort("127.0.0.1", 1);
    private static final HostPort OTHER = new HostPort("127.0.0.1", 2);
    private final DistrustedPeers mPeers = DistrustedPeers.create();

    @Test
    void onlyThePeerThatMixedUpItsResponsesIsDistrusted() {
        mPeers.add(PEER, 100);
        assertThat(mPeers.contains(PEER, 100)).isTrue();
        assertThat(mPeers.contains(OTHER, 100)).isFalse();
    }

    @Test
    void eachAnomalyExtendsTheDistrust() {
        mPeers.add(PEER, 100);
        mPeers.add(PEER, 200);
        mPeers.removeExpired(100 + DISTRUST_MILLIS);
        assertThat(mPeers.contains(PEER, 199 + DISTRUST_MILLIS)).isTrue();
        assertThat(mPeers.contains(PEER, 200 + DISTRUST_MILLIS)).isFalse();
    }
}
