package org.vanilladoor.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.generated.CounterBatch;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.peer.PeerClient;
import org.vanilladoor.usage.TeamCounts;
import org.vanilladoor.usage.UsageCountKey;
import org.vanilladoor.usage.UsageCounters;

/**
 * Replicates this process's usage counts to two other VMs: one in the same failure domain, one in
 * another.
 *
 * <p>If a transmission fails, its counts are sent again in a later cycle. Confined to the control
 * thread.
 */
final class UsageCounterReplicator {
    private static final Duration REPLICATION_PERIOD = Duration.ofSeconds(1);
    private final MembershipCore mMembership;
    private final PeerClient mPeerClient;
    private final String mCredential;
    private final UsageCounters mCounters;

    private UsageCounterReplicator(
            MembershipCore membership,
            PeerClient peerClient,
            String credential,
            UsageCounters counters) {
        mMembership = membership;
        mPeerClient = peerClient;
        mCredential = credential;
        mCounters = counters;
    }

    static UsageCounterReplicator start(
            ControlLoop control,
            MembershipCore membership,
            PeerClient peerClient,
            String credential,
            UsageCounters counters) {
        UsageCounterReplicator replicator =
                new UsageCounterReplicator(membership, peerClient, credential, counters);
        control.scheduleWithFixedDelay(REPLICATION_PERIOD, replicator::replicateChanges);
        return replicator;
    }

    /** Sends the counts that have changed since the last call to the replicas. */
    void replicateChanges() {
        Map<UsageCountKey, TeamCounts> changed = mCounters.takeChanged();
        if (changed.isEmpty()) {
            return;
        }
        CounterBatch batch = PeerMessages.toCounterBatch(mCredential, changed);
        for (boolean ownDomain : new boolean[] {true, false}) {
            Optional<MemberRecord> replica = chooseReplica(ownDomain);
            if (replica.isEmpty()) {
                continue;
            }
            mPeerClient
                    .call(
                            replica.get().peerAddress(),
                            client -> {
                                client.putCounters(batch);
                                return true;
                            })
                    .whenComplete(
                            (ignored, failure) -> {
                                if (failure != null) {
                                    mCounters.markChanged(changed.keySet());
                                }
                            });
        }
    }

    private Optional<MemberRecord> chooseReplica(boolean ownDomain) {
        MemberRecord self = mMembership.self();
        List<MemberRecord> candidates =
                mMembership.live(MonotonicClock.nowMillis()).stream()
                        .filter(member -> !member.name().equals(self.name()))
                        .filter(
                                member ->
                                        member.failureDomain().equals(self.failureDomain())
                                                == ownDomain)
                        .toList();
        List<String> names = candidates.stream().map(MemberRecord::name).toList();
        return RendezvousRanking.rank("counts/" + self.name(), names).stream()
                .findFirst()
                .flatMap(
                        name ->
                                candidates.stream()
                                        .filter(member -> member.name().equals(name))
                                        .findFirst());
    }
}
