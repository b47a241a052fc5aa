package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests of counting requests by usage window, and of the view of all processes and their counts.
 */
class MemberViewTests {
    private static final long NOW = 50_000;

    @Test
    void requestsAreCountedInTheWindowInWhichTheyBegan() {
        UsageCounter usageCounter = UsageCounter.create(5_000);
        usageCounter.countRequest("a", 9_999);
        usageCounter.countRequest("a", 10_000);
        usageCounter.countRequest("b", 10_001);
        assertThat(usageCounter.counts())
                .containsExactly(1L, Map.of("a", 1L), 2L, Map.of("a", 1L, "b", 1L));
        assertThat(usageCounter.windowEndMillis(1)).isEqualTo(10_000);
    }

    @Test
    void countsOfDeadProcessesAreIncluded() {
        MemberView members = MemberView.create("members/one.1");
        members.replaceReports(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        listEverySecond(members, List.of(listed("one", 2, 5), listed("two", 1, 4)), 13_000);
        assertThat(members.usageByTeam(7)).containsExactly("team", 9L);
        assertThat(members.liveProcesses()).isEqualTo(1);
    }

    @Test
    void countsAreCompleteUntilATimeOnceAllLiveProcessesHaveReportedUpToIt() {
        MemberView members = MemberView.create("members/one.1");
        members.replaceReports(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        assertThat(members.isCompleteUntil(1_000)).isTrue();
        assertThat(members.isCompleteUntil(1_001)).isFalse();
        listEverySecond(
                members,
                List.of(listed("one", 1, 3), listed("two", 1, 4)),
                MemberView.REPORT_EXPIRY_MILLIS);
        assertThat(members.isCompleteUntil(1_001)).isTrue();
    }

    @Test
    void reportsOfDeadProcessesAreObsoleteAfterTheRetentionTime() {
        MemberView members = MemberView.create("members/one.1");
        members.replaceReports(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        listEverySecond(members, List.of(listed("one", 1, 3), listed("two", 1, 4)), 60_000);
        assertThat(members.obsoleteReports()).isEmpty();
        members.replaceReports(List.of(listed("one", 2, 3), listed("two", 1, 4)), NOW + 61_000);
        assertThat(members.obsoleteReports()).containsExactly("members/two.1");
    }

    @Test
    void allProcessesAgreeOnTheFourCandidatesForTheLease() {
        List<MemberView.ListedReport> all =
                List.of("1", "2", "3", "4", "5", "6", "7", "8", "9").stream()
                        .map(name -> listed(name, 1, 1))
                        .toList();
        long candidates =
                all.stream()
                        .filter(
                                each -> {
                                    MemberView members = MemberView.create(each.objectName());
                                    members.replaceReports(all, NOW);
                                    return members.isCandidate();
                                })
                        .count();
        assertThat(candidates).isEqualTo(4);
    }

    @Test
    void theReportIntervalGrowsWithTheNumberOfProcesses() {
        MemberView members = MemberView.create("members/1.1");
        for (int processes : new int[] {5, 22, 130}) {
            List<MemberView.ListedReport> all =
                    IntStream.rangeClosed(1, processes)
                            .mapToObj(number -> listed(Integer.toString(number), 1, 1))
                            .toList();
            members.replaceReports(all, NOW);
            double reportsPerSecond = processes * 1_000.0 / members.reportIntervalMillis();
            assertThat(reportsPerSecond).isAtMost(processes / 4.0 + 10);
            assertThat(members.reportIntervalMillis()).isAtMost(4_000);
        }
    }

    @Test
    void aNumberOfProcessesIsAssumedUntilTheFirstListing() {
        MemberView members = MemberView.create("members/one.1");
        assertThat(members.liveProcesses()).isEqualTo(MemberView.ASSUMED_PROCESSES);
        members.replaceReports(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        assertThat(members.liveProcesses()).isEqualTo(2);
    }

    @Test
    void theRosterGivesTheNumberOfLiveProcessesAndTheCandidates() {
        MemberView members = MemberView.create("members/one.1");
        members.followRoster(Optional.of(new Roster(1, 130, List.of("members/two.1"))), NOW);
        assertThat(members.liveProcesses()).isEqualTo(130);
        assertThat(members.isCandidate()).isFalse();
        assertThat(members.hasListing()).isFalse();
        members.followRoster(
                Optional.of(new Roster(2, 131, List.of("members/one.1"))), NOW + 4_000);
        assertThat(members.isCandidate()).isTrue();
        assertThat(members.needsListing()).isTrue();
    }

    @Test
    void everyProcessIsACandidateOnceTheRosterHasExpired() {
        MemberView members = MemberView.create("members/one.1");
        Optional<Roster> roster = Optional.of(new Roster(1, 130, List.of("members/two.1")));
        members.followRoster(roster, NOW);
        members.followRoster(roster, NOW + MemberView.REPORT_EXPIRY_MILLIS - 1);
        assertThat(members.isCandidate()).isFalse();
        members.followRoster(roster, NOW + MemberView.REPORT_EXPIRY_MILLIS);
        assertThat(members.isCandidate()).isTrue();
        assertThat(members.needsListing()).isFalse();
        members.followRoster(
                Optional.of(new Roster(2, 130, List.of("members/two.1"))), NOW + 13_000);
        assertThat(members.isCandidate()).isFalse();
    }

    @Test
    void theRosterOfTheHolderContainsTheListedProcesses() {
        MemberView members = MemberView.create("members/one.1");
        members.replaceReports(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        Roster roster = members.roster(7);
        assertThat(roster.living()).isEqualTo(2);
        assertThat(roster.candidates()).containsExactly("members/one.1", "members/two.1");
    }

    @Test
    void aListingIsNotUsedAfterTheProcessFollowsTheRoster() {
        MemberView members = MemberView.create("members/one.1");
        members.replaceReports(List.of(listed("one", 1, 3)), NOW);
        members.followRoster(Optional.of(new Roster(1, 130, List.of())), NOW + 4_000);
        assertThat(members.loadByService()).isEmpty();
        assertThat(members.hasListing()).isFalse();
    }

    @Test
    void candidatesThatListEveryFourSecondsDetectADeadProcess() {
        MemberView members = MemberView.create("members/one.1");
        for (long elapsedMillis = 0; elapsedMillis <= 16_000; elapsedMillis += 4_000) {
            members.replaceReports(
                    List.of(listed("one", 1 + elapsedMillis, 3), listed("two", 1, 4)),
                    NOW + elapsedMillis);
        }
        assertThat(members.liveProcesses()).isEqualTo(1);
    }

    @Test
    void noProcessExpiresForATimeWithoutListings() {
        MemberView members = MemberView.create("members/one.1");
        List<MemberView.ListedReport> both = List.of(listed("one", 1, 3), listed("two", 1, 4));
        members.replaceReports(both, NOW);
        members.replaceReports(both, NOW + 20_000);
        assertThat(members.liveProcesses()).isEqualTo(2);
        assertThat(members.isCompleteUntil(1_001)).isFalse();
        members.replaceReports(both, NOW + 120_000);
        assertThat(members.obsoleteReports()).isEmpty();
    }

    /** Without it, a new holder would take the size that it finds for a multiple of the first. */
    @Test
    void theInitialSizeOfAServiceIsKnownFromTheReportOfADeadHolder() {
        MemberView members = MemberView.create("members/one.1");
        MemberReport holder =
                new MemberReport("two", "1", 1_000, Map.of(), Map.of(), Map.of("model", 12));
        List<MemberView.ListedReport> listed =
                List.of(
                        listed("one", 1, 3),
                        new MemberView.ListedReport("members/two.1", 1, holder));
        members.replaceReports(listed, NOW);
        listEverySecond(members, listed, 20_000);
        assertThat(members.reportedInitialSize("model")).isEqualTo(12);
        assertThat(members.reportedInitialSize("other")).isEqualTo(0);
    }

    private static void listEverySecond(
            MemberView members, List<MemberView.ListedReport> listed, long durationMillis) {
        for (long elapsedMillis = 1_000; elapsedMillis <= durationMillis; elapsedMillis += 1_000) {
            members.replaceReports(listed, NOW + elapsedMillis);
        }
    }

    private static MemberView.ListedReport listed(String vmName, long version, long count) {
        return new MemberView.ListedReport(
                "members/" + vmName + ".1",
                version,
                new MemberReport(vmName, "1", 1_000, Map.of(7L, Map.of("team", count)), Map.of()));
    }
}
