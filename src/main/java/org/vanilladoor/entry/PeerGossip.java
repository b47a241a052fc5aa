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
 * Exchanges membership records, configuration versions and endpoint loads with other entries.
 *
 * <p>Invariant: the membership is accessed only by the control thread. Methods may be called by any
 * thread unless stated otherwise.
 */
final class PeerGossip {
    private static final Logger LOG = LogManager.getLogger(PeerGossip.class);
    private static final Duration GOSSIP_PERIOD = Duration.ofMillis(500);
    private static final int IMMEDIATE_GOSSIP_FAN_OUT = 3;
    private final ControlLoop mControl;
    private final MembershipCore mMembership;
    private final PeerClient mPeerClient;
    private final String mCredential;
    private final ActiveConfiguration mConfiguration;
    private final LoadTable mLoadTable;
    private final ConfigurationFetcher mConfigurationFetcher;
    private long mLastInformedMillis;

    private PeerGossip(
            EntryContext context, ActiveConfiguration configuration, LoadTable loadTable) {
        mControl = context.control();
        mMembership = context.membership();
        mPeerClient = context.peerClient();
        mCredential = context.settings().systemCredential();
        mConfiguration = configuration;
        mLoadTable = loadTable;
        mConfigurationFetcher =
                ConfigurationFetcher.create(mPeerClient, mCredential, configuration);
        mLastInformedMillis = MonotonicClock.nowMillis();
    }

    /** Starts the periodic exchange with peers. */
    static PeerGossip start(
            EntryContext context, ActiveConfiguration configuration, LoadTable loadTable) {
        PeerGossip gossip = new PeerGossip(context, configuration, loadTable);
        context.control().scheduleWithFixedDelay(GOSSIP_PERIOD, gossip::runCycle);
        configuration.addListener(changed -> gossip.gossipNow());
        return gossip;
    }

    /** Merges the message of a peer and returns the reply to it; control thread only. */
    Exchange handleExchange(Exchange request) {
        mergeExchange(request);
        return createExchange();
    }

    /** Queries the live members, including this process. */
    CompletableFuture<List<MemberRecord>> liveMembers() {
        return mControl.submit(() -> mMembership.live(MonotonicClock.nowMillis()));
    }

    /** Marks this process as about to stop and spreads that by gossip. */
    void announceLeaving() {
        mControl.execute(mMembership::markLeaving);
        gossipNow();
    }

    /** Records that the platform responded; control thread only. */
    void recordPlatformContact() {
        mLastInformedMillis = MonotonicClock.nowMillis();
    }

    /**
     * Returns the time since this process was last informed, that is, since it or another entry of
     * its failure domain last had a response from the platform or a message from another failure
     * domain; control thread only.
     */
    long informedAgeMillis() {
        return MonotonicClock.nowMillis() - mLastInformedMillis;
    }

    private void runCycle() {
        mMembership.incrementHeartbeat();
        mMembership.chooseGossipPartner(MonotonicClock.nowMillis()).ifPresent(this::exchangeWith);
    }

    /** Starts exchanges with a few peers immediately; these spread the update further. */
    void gossipNow() {
        mControl.execute(
                () -> {
                    long nowMillis = MonotonicClock.nowMillis();
                    for (int i = 0; i < IMMEDIATE_GOSSIP_FAN_OUT; i++) {
                        mMembership.chooseGossipPartner(nowMillis).ifPresent(this::exchangeWith);
                    }
                });
    }

    private void exchangeWith(HostPort address) {
        Exchange request = createExchange();
        mPeerClient
                .call(address, client -> client.exchange(request))
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                LOG.debug("peer: The exchange with {} failed.", address);
                            } else {
                                mControl.execute(() -> mergeExchange(response));
                            }
                        });
    }

    private Exchange createExchange() {
        return PeerMessages.toExchange(
                mCredential,
                mMembership.recordsToGossip(),
                mConfiguration.current().version(),
                mLoadTable.recentDigests(MonotonicClock.nowMillis()),
                (int) Math.min(Integer.MAX_VALUE, informedAgeMillis()));
    }

    private void mergeExchange(Exchange exchange) {
        long nowMillis = MonotonicClock.nowMillis();
        MemberRecord sender = PeerMessages.toMemberRecord(exchange.getSender());
        mMembership.merge(List.of(sender), nowMillis);
        mMembership.merge(PeerMessages.toMemberRecords(exchange), nowMillis);
        if (!sender.failureDomain().equals(mMembership.self().failureDomain())) {
            mLastInformedMillis = nowMillis;
        }
        mLastInformedMillis =
                Math.max(
                        mLastInformedMillis,
                        nowMillis - Math.max(0, exchange.getInformedAgeMillis()));
        mLoadTable.mergeDigests(exchange.getLoads(), nowMillis);
        if (exchange.getConfigurationVersion() > mConfiguration.current().version()) {
            mConfigurationFetcher.fetchFrom(sender.peerAddress());
        }
    }
}
