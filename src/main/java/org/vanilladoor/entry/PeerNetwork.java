package org.vanilladoor.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.configuration.ActiveConfiguration;
import org.vanilladoor.generated.Exchange;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.peer.PeerClient;

/**
 * Talks to other entries: who there is, which configuration is in force, how loaded endpoints are.
 *
 * <p>Invariant: membership is touched by the control thread only. All public methods may be called
 * by any thread.
 */
final class PeerNetwork {
    private static final Logger LOG = LogManager.getLogger(PeerNetwork.class);
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final int NEWS_FAN_OUT = 3;
    private final ControlLoop mControl;
    private final MembershipCore mMembership;
    private final PeerClient mClient;
    private final String mCredential;
    private final ActiveConfiguration mConfiguration;
    private final LoadBoard mLoads;
    private final ConfigurationFetcher mFetcher;
    private long mInformedMillis;

    private PeerNetwork(EntryContext context, ActiveConfiguration configuration, LoadBoard loads) {
        mControl = context.control();
        mMembership = context.membership();
        mClient = context.peers();
        mCredential = context.settings().systemCredential();
        mConfiguration = configuration;
        mLoads = loads;
        mFetcher = ConfigurationFetcher.create(mClient, mCredential, configuration);
        mInformedMillis = MonotonicClock.nowMillis();
    }

    /** Starts talking to peers. */
    static PeerNetwork start(
            EntryContext context, ActiveConfiguration configuration, LoadBoard loads) {
        PeerNetwork network = new PeerNetwork(context, configuration, loads);
        context.control().scheduleWithFixedDelay(PERIOD, network::round);
        configuration.addListener(changed -> network.spreadNews());
        return network;
    }

    /** Answers an exchange that a peer began; runs on the control thread. */
    Exchange answer(Exchange request) {
        take(request);
        return exchange();
    }

    /** Completes with the live members. */
    CompletableFuture<List<MemberRecord>> live() {
        return mControl.submit(() -> mMembership.live(MonotonicClock.nowMillis()));
    }

    /** Tells everybody that this process is about to stop. */
    void leave() {
        mControl.execute(mMembership::markLeaving);
        spreadNews();
    }

    /** Notes that the platform answered; control thread only. */
    void heardPlatform() {
        mInformedMillis = MonotonicClock.nowMillis();
    }

    /**
     * Returns for how long neither this process nor its failure domain has heard of the platform or
     * of another failure domain; control thread only.
     */
    long uninformedMillis() {
        return MonotonicClock.nowMillis() - mInformedMillis;
    }

    private void round() {
        mMembership.incrementHeartbeat();
        mMembership.chooseGossipPartner(MonotonicClock.nowMillis()).ifPresent(this::talkTo);
    }

    /** Tells a few others at once, who tell others in turn. */
    void spreadNews() {
        mControl.execute(
                () -> {
                    long now = MonotonicClock.nowMillis();
                    for (int i = 0; i < NEWS_FAN_OUT; i++) {
                        mMembership.chooseGossipPartner(now).ifPresent(this::talkTo);
                    }
                });
    }

    private void talkTo(HostPort address) {
        Exchange request = exchange();
        mClient.call(address, client -> client.exchange(request))
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                LOG.debug("peer: {} gave no answer.", address);
                            } else {
                                mControl.execute(() -> take(answer));
                            }
                        });
    }

    private Exchange exchange() {
        return PeerMessages.exchange(
                mCredential,
                mMembership.recordsToGossip(),
                mConfiguration.current().version(),
                mLoads.fresh(MonotonicClock.nowMillis()),
                (int) Math.min(Integer.MAX_VALUE, uninformedMillis()));
    }

    private void take(Exchange exchange) {
        long now = MonotonicClock.nowMillis();
        MemberRecord sender = PeerMessages.member(exchange.getSender());
        mMembership.merge(List.of(sender), now);
        mMembership.merge(PeerMessages.members(exchange), now);
        if (!sender.failureDomain().equals(mMembership.self().failureDomain())) {
            mInformedMillis = now;
        }
        mInformedMillis =
                Math.max(mInformedMillis, now - Math.max(0, exchange.getInformedAgeMillis()));
        mLoads.merge(exchange.getLoads(), now);
        if (exchange.getConfigurationVersion() > mConfiguration.current().version()) {
            mFetcher.fetchFrom(sender.peerAddress());
        }
    }
}
