package org.vanilladoor.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;

/** Tests which members are known, which are live, and which one to exchange records with. */
class MembershipCoreTests {
    private static final HostPort SEED = new HostPort("10.0.0.9", 8201);
    private final MembershipCore mCore =
            MembershipCore.create(
                    member("self", "1-a", "d1", 1, false), List.of(SEED), new Random(1));

    private static MemberRecord member(
            String name, String incarnation, String domain, long heartbeat, boolean leaving) {
        HostPort address = new HostPort("10.0.0." + (1 + name.length()), 8201);
        return new MemberRecord(name, incarnation, domain, address, heartbeat, leaving);
    }

    private List<String> live(long nowMillis) {
        return mCore.live(nowMillis).stream().map(MemberRecord::name).toList();
    }

    @Test
    void aProcessThatKnowsNoMemberContactsASeed() {
        assertThat(mCore.chooseGossipPartner(0)).hasValue(SEED);
    }

    @Test
    void aMemberWithoutNewHeartbeatsIsNotLiveButStillKnown() {
        mCore.merge(List.of(member("other", "1-b", "d1", 5, false)), 0);
        assertThat(live(1_000)).containsExactly("self", "other");
        assertThat(live(5_000)).containsExactly("self");
        assertThat(mCore.others()).hasSize(1);
    }

    @Test
    void anOldHeartbeatDoesNotKeepAMemberLive() {
        mCore.merge(List.of(member("other", "1-b", "d1", 5, false)), 0);
        mCore.merge(List.of(member("other", "1-b", "d1", 5, false)), 4_000);
        mCore.merge(List.of(member("other", "1-b", "d1", 4, false)), 4_000);
        assertThat(live(5_000)).containsExactly("self");
    }

    @Test
    void aLaterIncarnationReplacesAnEarlierOneAndIsNotReplacedByIt() {
        mCore.merge(List.of(member("other", "2-c", "d1", 1, false)), 0);
        mCore.merge(List.of(member("other", "1-b", "d1", 900, false)), 0);
        assertThat(mCore.others().get(0).incarnation()).isEqualTo("2-c");
    }

    @Test
    void aMemberThatIsLeavingIsNotLive() {
        mCore.merge(List.of(member("other", "1-b", "d1", 5, true)), 0);
        assertThat(live(0)).containsExactly("self");
    }

    @Test
    void recordsOfThisProcessFromOthersAreIgnored() {
        mCore.merge(List.of(member("self", "9-z", "d2", 900, true)), 0);
        assertThat(mCore.self().incarnation()).isEqualTo("1-a");
        assertThat(live(0)).containsExactly("self");
    }

    @Test
    void liveNamesContainOnlyMembersOfTheFailureDomain() {
        mCore.merge(
                List.of(
                        member("near", "1-b", "d1", 5, false),
                        member("far-away", "1-c", "d2", 5, false)),
                0);
        assertThat(mCore.liveNames("d1", 0)).containsExactly("self", "near");
    }
}
