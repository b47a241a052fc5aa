package org.vanilladoor.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.HostPort;

/**
 * Knows which entries there are, from what they tell each other.
 *
 * <p>Nothing that must hold rests on this view: it decides who does a piece of work first, and whom
 * to talk to. Invariant: of two records of a VM the newer one stays. Belongs to the control thread.
 */
public final class MembershipCore {
    private static final long SILENCE_MILLIS = 5_000;
    private static final long FORGET_MILLIS = 600_000;
    private static final int RUMOURS = 6;
    private static final double OWN_DOMAIN_SHARE = 0.7;
    private static final double REJOIN_SHARE = 0.1;
    private final List<HostPort> mSeeds;
    private final RandomGenerator mRandom;
    private final Map<String, Known> mMembers = new TreeMap<>();
    private MemberRecord mSelf;

    private MembershipCore(MemberRecord self, List<HostPort> seeds, RandomGenerator random) {
        mSelf = self;
        mSeeds = List.copyOf(seeds);
        mRandom = random;
    }

    /**
     * Returns the view of a process that has just started.
     *
     * @param self record of this process
     * @param seeds addresses to begin with
     * @param random chooses partners
     */
    public static MembershipCore create(
            MemberRecord self, List<HostPort> seeds, RandomGenerator random) {
        return new MembershipCore(self, seeds, random);
    }

    /** Counts a heartbeat of this process. */
    public void incrementHeartbeat() {
        mSelf =
                new MemberRecord(
                        mSelf.name(),
                        mSelf.incarnation(),
                        mSelf.failureDomain(),
                        mSelf.peerAddress(),
                        mSelf.heartbeat() + 1,
                        mSelf.leaving());
    }

    /** Tells everybody that this process is about to stop. */
    public void markLeaving() {
        mSelf =
                new MemberRecord(
                        mSelf.name(),
                        mSelf.incarnation(),
                        mSelf.failureDomain(),
                        mSelf.peerAddress(),
                        mSelf.heartbeat() + 1,
                        true);
    }

    /** Takes in what another process tells. */
    public void merge(Collection<MemberRecord> records, long nowMillis) {
        for (MemberRecord record : records) {
            Known known = mMembers.get(record.name());
            boolean self = record.name().equals(mSelf.name());
            if (!self && (known == null || record.isNewerThan(known.record()))) {
                mMembers.put(record.name(), new Known(record, nowMillis));
            }
        }
        mMembers.values().removeIf(each -> nowMillis - each.heardMillis() > FORGET_MILLIS);
    }

    /** Returns the record of this process. */
    public MemberRecord self() {
        return mSelf;
    }

    /** Returns the members heard of lately that are not about to stop, this process among them. */
    public List<MemberRecord> live(long nowMillis) {
        List<MemberRecord> live = new ArrayList<>();
        if (!mSelf.leaving()) {
            live.add(mSelf);
        }
        mMembers.values().stream()
                .filter(known -> known.isHeard(nowMillis) && !known.record().leaving())
                .forEach(known -> live.add(known.record()));
        return live;
    }

    /** Returns the names of live members of a failure domain. */
    public List<String> liveNames(String failureDomain, long nowMillis) {
        return live(nowMillis).stream()
                .filter(member -> member.failureDomain().equals(failureDomain))
                .map(MemberRecord::name)
                .toList();
    }

    /** Returns every process heard of, also those that are silent, without this process. */
    public List<MemberRecord> others() {
        return mMembers.values().stream().map(Known::record).toList();
    }

    /** Returns the latest records to pass on, this process's own first. */
    public List<MemberRecord> recordsToGossip() {
        List<MemberRecord> rumours = new ArrayList<>();
        rumours.add(mSelf);
        mMembers.values().stream()
                .sorted(Comparator.comparingLong(Known::heardMillis).reversed())
                .limit(RUMOURS)
                .forEach(known -> rumours.add(known.record()));
        return rumours;
    }

    /** Returns whom to talk to next: mostly the own failure domain, now and then the silent. */
    public Optional<HostPort> chooseGossipPartner(long nowMillis) {
        List<HostPort> candidates = candidates(nowMillis);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    private List<HostPort> candidates(long nowMillis) {
        double draw = mRandom.nextDouble();
        if (draw < REJOIN_SHARE || mMembers.isEmpty()) {
            return silentOrSeeds(nowMillis);
        }
        boolean own = draw < OWN_DOMAIN_SHARE;
        List<HostPort> chosen = heard(nowMillis, own);
        return chosen.isEmpty() ? heard(nowMillis, !own) : chosen;
    }

    private List<HostPort> heard(long nowMillis, boolean ownDomain) {
        return mMembers.values().stream()
                .filter(known -> known.isHeard(nowMillis))
                .map(Known::record)
                .filter(record -> record.failureDomain().equals(mSelf.failureDomain()) == ownDomain)
                .map(MemberRecord::peerAddress)
                .toList();
    }

    private List<HostPort> silentOrSeeds(long nowMillis) {
        List<HostPort> addresses =
                new ArrayList<>(
                        mMembers.values().stream()
                                .filter(known -> !known.isHeard(nowMillis))
                                .map(known -> known.record().peerAddress())
                                .toList());
        mSeeds.stream().filter(seed -> !seed.equals(mSelf.peerAddress())).forEach(addresses::add);
        return addresses;
    }

    /** A record with the time at which it was new. */
    private record Known(MemberRecord record, long heardMillis) {
        boolean isHeard(long nowMillis) {
            return nowMillis - heardMillis < SILENCE_MILLIS;
        }
    }
}
