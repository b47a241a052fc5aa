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
 * Copies this process's counts to two other VMs, one of them in another failure domain.
 *
 * <p>Counts whose copy did not arrive are copied again. Belongs to the control thread.
 */
final class CounterCopier {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private final MembershipCore mMembership;
    private final PeerClient mPeers;
    private final String mCredential;
    private final UsageCounters mCounters;

    private CounterCopier(
            MembershipCore membership,
            PeerClient peers,
            String credential,
            UsageCounters counters) {
        mMembership = membership;
        mPeers = peers;
        mCredential = credential;
        mCounters = counters;
    }

    static CounterCopier start(
            ControlLoop control,
            MembershipCore membership,
            PeerClient peers,
            String credential,
            UsageCounters counters) {
        CounterCopier copier = new CounterCopier(membership, peers, credential, counters);
        control.scheduleWithFixedDelay(PERIOD, copier::copy);
        return copier;
    }

    /** Copies what has changed since the last call. */
    void copy() {
        Map<UsageCountKey, TeamCounts> changed = mCounters.takeChanged();
        if (changed.isEmpty()) {
            return;
        }
        CounterBatch batch = PeerMessages.batch(mCredential, changed);
        for (boolean ownDomain : new boolean[] {true, false}) {
            Optional<MemberRecord> keeper = keeper(ownDomain);
            if (keeper.isEmpty()) {
                continue;
            }
            mPeers.call(
                            keeper.get().peerAddress(),
                            client -> {
                                client.putCounters(batch);
                                return true;
                            })
                    .whenComplete(
                            (done, failure) -> {
                                if (failure != null) {
                                    mCounters.markChanged(changed.keySet());
                                }
                            });
        }
    }

    private Optional<MemberRecord> keeper(boolean ownDomain) {
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
