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
 * The gossip-based view that an entry has of the other entries.
 *
 * <p>No safety property depends on this view. It only decides which entry attempts a task first and
 * which entry to exchange records with. Invariant: of two records of the same VM the newer one is
 * retained. Time is passed in as an argument. Confined to the control thread.
 */
public final class MembershipCore {
    /** How long a member counts as live after its record was last updated. */
    private static final long MEMBER_TIMEOUT_MILLIS = 5_000;

    /** How long the record of a member is retained after its last update. */
    private static final long RECORD_RETENTION_MILLIS = 600_000;

    /** Number of other members' records in a message. */
    private static final int MAXIMUM_GOSSIPED_OTHERS = 6;

    /** Random draws from here up choose another failure domain, those below it the own one. */
    private static final double OWN_DOMAIN_DRAW_LIMIT = 0.7;

    /** Random draws below this choose a seed or a member that is not live. */
    private static final double REJOIN_DRAW_LIMIT = 0.1;

    private final List<HostPort> mSeeds;
    private final RandomGenerator mRandom;
    private final Map<String, KnownMember> mMembers = new TreeMap<>();
    private MemberRecord mSelf;

    private MembershipCore(MemberRecord self, List<HostPort> seeds, RandomGenerator random) {
        mSelf = self;
        mSeeds = List.copyOf(seeds);
        mRandom = random;
    }

    /**
     * Returns the view of a process that has just started and knows no other member.
     *
     * @param self record of this process
     * @param seeds addresses to contact while no member is known, and when rejoining
     * @param random source of the random choice of gossip partners
     */
    public static MembershipCore create(
            MemberRecord self, List<HostPort> seeds, RandomGenerator random) {
        return new MembershipCore(self, seeds, random);
    }

    /** Increments the heartbeat in this process's record. */
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

    /** Marks this process's record, which the next exchanges spread, as about to stop. */
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

    /** Merges records that another process sent. */
    public void merge(Collection<MemberRecord> records, long nowMillis) {
        for (MemberRecord record : records) {
            KnownMember known = mMembers.get(record.name());
            boolean isSelf = record.name().equals(mSelf.name());
            if (!isSelf && (known == null || record.isNewerThan(known.record()))) {
                mMembers.put(record.name(), new KnownMember(record, nowMillis));
            }
        }
        mMembers.values()
                .removeIf(member -> nowMillis - member.updatedMillis() > RECORD_RETENTION_MILLIS);
    }

    /** Returns the record of this process. */
    public MemberRecord self() {
        return mSelf;
    }

    /** Returns this process and the recently updated members, except those about to stop. */
    public List<MemberRecord> live(long nowMillis) {
        List<MemberRecord> live = new ArrayList<>();
        if (!mSelf.leaving()) {
            live.add(mSelf);
        }
        mMembers.values().stream()
                .filter(known -> known.isLive(nowMillis) && !known.record().leaving())
                .forEach(known -> live.add(known.record()));
        return live;
    }

    /** Returns the names of the live members of a failure domain. */
    public List<String> liveNames(String failureDomain, long nowMillis) {
        return live(nowMillis).stream()
                .filter(member -> member.failureDomain().equals(failureDomain))
                .map(MemberRecord::name)
                .toList();
    }

    /** Returns every known member except this process, including those that are not live. */
    public List<MemberRecord> others() {
        return mMembers.values().stream().map(KnownMember::record).toList();
    }

    /** Returns the records to send: this process's own, then the most recently updated others. */
    public List<MemberRecord> recordsToGossip() {
        List<MemberRecord> gossiped = new ArrayList<>();
        gossiped.add(mSelf);
        mMembers.values().stream()
                .sorted(Comparator.comparingLong(KnownMember::updatedMillis).reversed())
                .limit(MAXIMUM_GOSSIPED_OTHERS)
                .forEach(known -> gossiped.add(known.record()));
        return gossiped;
    }

    /**
     * Chooses the address of the entry to exchange records with next.
     *
     * <p>Prefers members of the own failure domain, and sometimes chooses a seed or a member that
     * is not live, so that separated groups of entries find each other again.
     */
    public Optional<HostPort> chooseGossipPartner(long nowMillis) {
        List<HostPort> candidates = partnerCandidates(nowMillis);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    private List<HostPort> partnerCandidates(long nowMillis) {
        double draw = mRandom.nextDouble();
        if (draw < REJOIN_DRAW_LIMIT || mMembers.isEmpty()) {
            return deadAndSeedAddresses(nowMillis);
        }
        boolean ownDomain = draw < OWN_DOMAIN_DRAW_LIMIT;
        List<HostPort> chosen = liveAddresses(nowMillis, ownDomain);
        return chosen.isEmpty() ? liveAddresses(nowMillis, !ownDomain) : chosen;
    }

    private List<HostPort> liveAddresses(long nowMillis, boolean ownDomain) {
        return mMembers.values().stream()
                .filter(known -> known.isLive(nowMillis))
                .map(KnownMember::record)
                .filter(record -> record.failureDomain().equals(mSelf.failureDomain()) == ownDomain)
                .map(MemberRecord::peerAddress)
                .toList();
    }

    private List<HostPort> deadAndSeedAddresses(long nowMillis) {
        List<HostPort> addresses =
                new ArrayList<>(
                        mMembers.values().stream()
                                .filter(known -> !known.isLive(nowMillis))
                                .map(known -> known.record().peerAddress())
                                .toList());
        mSeeds.stream().filter(seed -> !seed.equals(mSelf.peerAddress())).forEach(addresses::add);
        return addresses;
    }

    /** A member's record and the time at which it was last replaced by a newer one. */
    private record KnownMember(MemberRecord record, long updatedMillis) {
        boolean isLive(long nowMillis) {
            return nowMillis - updatedMillis < MEMBER_TIMEOUT_MILLIS;
        }
    }
}
