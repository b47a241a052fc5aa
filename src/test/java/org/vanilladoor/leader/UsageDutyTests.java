package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Counting requests by window, and adding up what all processes counted. */
class UsageDutyTests {
    private static final long NOW = 50_000;

    @Test
    void requestsAreCountedInTheWindowInWhichTheyBegan() {
        UsageLedger ledger = UsageLedger.create(5_000);
        ledger.began("a", 9_999);
        ledger.began("a", 10_000);
        ledger.began("b", 10_001);
        assertThat(ledger.counts())
                .containsExactly(1L, Map.of("a", 1L), 2L, Map.of("a", 1L, "b", 1L));
        assertThat(ledger.endMillis(1)).isEqualTo(10_000);
    }

    @Test
    void countsOfProcessesThatAreGoneStillCount() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.list(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        listEachSecond(board, List.of(listed("one", 2, 5), listed("two", 1, 4)), 13_000);
        assertThat(board.usage(7)).containsExactly("team", 9L);
        assertThat(board.living()).isEqualTo(1);
    }

    @Test
    void aWindowIsCompleteOnceAllLivingProcessesHaveGoneBeyondIt() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.list(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        assertThat(board.isComplete(1_000)).isTrue();
        assertThat(board.isComplete(1_001)).isFalse();
        listEachSecond(
                board,
                List.of(listed("one", 1, 3), listed("two", 1, 4)),
                MemberBoard.SILENT_MILLIS);
        assertThat(board.isComplete(1_001)).isTrue();
    }

    @Test
    void reportsOfProcessesLongGoneAreObsolete() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.list(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        listEachSecond(board, List.of(listed("one", 1, 3), listed("two", 1, 4)), 60_000);
        assertThat(board.obsolete()).isEmpty();
        board.list(List.of(listed("one", 2, 3), listed("two", 1, 4)), NOW + 61_000);
        assertThat(board.obsolete()).containsExactly("members/two.1");
    }

    @Test
    void aFewProcessesStandByForTheLeaseAndAllAgreeOnThem() {
        List<MemberBoard.Listed> all =
                List.of("1", "2", "3", "4", "5", "6", "7", "8", "9").stream()
                        .map(name -> listed(name, 1, 1))
                        .toList();
        long candidates =
                all.stream()
                        .filter(
                                each -> {
                                    MemberBoard board = MemberBoard.create(each.object());
                                    board.list(all, NOW);
                                    return board.isCandidate();
                                })
                        .count();
        assertThat(candidates).isEqualTo(4);
    }

    @Test
    void reportsComeLessOftenTheMoreProcessesThereAre() {
        MemberBoard board = MemberBoard.create("members/1.1");
        for (int processes : new int[] {5, 22, 130}) {
            List<MemberBoard.Listed> all =
                    IntStream.rangeClosed(1, processes)
                            .mapToObj(number -> listed(Integer.toString(number), 1, 1))
                            .toList();
            board.list(all, NOW);
            double reportsPerSecond = processes * 1_000.0 / board.reportIntervalMillis();
            assertThat(reportsPerSecond).isAtMost(processes / 4.0 + 10);
            assertThat(board.reportIntervalMillis()).isAtMost(4_000);
        }
    }

    @Test
    void nobodyIsGivenUpWhileTheStoreIsAway() {
        MemberBoard board = MemberBoard.create("members/one.1");
        assertThat(board.living()).isEqualTo(MemberBoard.UNKNOWN);
        board.list(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        assertThat(board.living()).isEqualTo(2);
    }

    @Test
    void aProcessThatOnlyFollowsTheRosterKnowsHowManyLiveAndWhetherItStandsBy() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.follow(Optional.of(new Roster(1, 130, List.of("members/two.1"))), NOW);
        assertThat(board.living()).isEqualTo(130);
        assertThat(board.isCandidate()).isFalse();
        assertThat(board.isListed()).isFalse();
        board.follow(Optional.of(new Roster(2, 131, List.of("members/one.1"))), NOW + 4_000);
        assertThat(board.isCandidate()).isTrue();
        assertThat(board.needsListing()).isTrue();
    }

    @Test
    void everyProcessStandsByOnceTheRosterHasBeenSilent() {
        MemberBoard board = MemberBoard.create("members/one.1");
        Optional<Roster> roster = Optional.of(new Roster(1, 130, List.of("members/two.1")));
        board.follow(roster, NOW);
        board.follow(roster, NOW + MemberBoard.SILENT_MILLIS - 1);
        assertThat(board.isCandidate()).isFalse();
        board.follow(roster, NOW + MemberBoard.SILENT_MILLIS);
        assertThat(board.isCandidate()).isTrue();
        assertThat(board.needsListing()).isFalse();
        board.follow(Optional.of(new Roster(2, 130, List.of("members/two.1"))), NOW + 13_000);
        assertThat(board.isCandidate()).isFalse();
    }

    @Test
    void whatTheHolderTellsIsWhatItHasListed() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.list(List.of(listed("one", 1, 3), listed("two", 1, 4)), NOW);
        Roster roster = board.roster(7);
        assertThat(roster.living()).isEqualTo(2);
        assertThat(roster.candidates()).containsExactly("members/one.1", "members/two.1");
    }

    @Test
    void nothingIsReckonedWithFromAListingBeforeTheRosterWasFollowed() {
        MemberBoard board = MemberBoard.create("members/one.1");
        board.list(List.of(listed("one", 1, 3)), NOW);
        board.follow(Optional.of(new Roster(1, 130, List.of())), NOW + 4_000);
        assertThat(board.work()).isEmpty();
        assertThat(board.isListed()).isFalse();
    }

    @Test
    void processesThatStandByNoticeSilenceThoughTheyListOnlyEachFourSeconds() {
        MemberBoard board = MemberBoard.create("members/one.1");
        for (long passed = 0; passed <= 16_000; passed += 4_000) {
            board.list(List.of(listed("one", 1 + passed, 3), listed("two", 1, 4)), NOW + passed);
        }
        assertThat(board.living()).isEqualTo(1);
    }

    @Test
    void nobodyCountsAsSilentForTheTimeInWhichNothingCouldBeListed() {
        MemberBoard board = MemberBoard.create("members/one.1");
        List<MemberBoard.Listed> both = List.of(listed("one", 1, 3), listed("two", 1, 4));
        board.list(both, NOW);
        board.list(both, NOW + 20_000);
        assertThat(board.living()).isEqualTo(2);
        assertThat(board.isComplete(1_001)).isFalse();
        board.list(both, NOW + 120_000);
        assertThat(board.obsolete()).isEmpty();
    }

    private static void listEachSecond(
            MemberBoard board, List<MemberBoard.Listed> listed, long forMillis) {
        for (long passed = 1_000; passed <= forMillis; passed += 1_000) {
            board.list(listed, NOW + passed);
        }
    }

    private static MemberBoard.Listed listed(String machine, long version, long count) {
        return new MemberBoard.Listed(
                "members/" + machine + ".1",
                version,
                new MemberReport(machine, "1", 1_000, Map.of(7L, Map.of("team", count)), Map.of()));
    }
}
