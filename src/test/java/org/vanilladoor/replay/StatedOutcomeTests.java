package org.vanilladoor.replay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;

/** Replays seeded traces and checks the outcomes that the files in examples/outcomes require. */
class StatedOutcomeTests {
    private static final int ENTRIES = 13;
    private static final int SEED = 1;
    private static final List<String> DOMAINS =
            List.of("muscat-1", "muscat-2", "muscat-3", "muscat-4");

    private static ReplayTally replay(
            Scenario scenario, PolicySet set, int steadyEngines, int reclaimableEngines)
            throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        ReplayFleet fleet =
                new ReplayFleet(
                        ENTRIES,
                        steadyEngines,
                        reclaimableEngines,
                        DOMAINS,
                        set.prefillEngineCount());
        return Replay.run(
                scenario.createTrace(targets, DOMAINS, SEED), fleet, targets, set.policies());
    }

    private static List<String> findMissed(Scenario scenario, ReplayTally tally)
            throws IOException {
        Path file = Path.of("examples", "outcomes", scenario.commandLineName() + ".toml");
        return StatedOutcomes.parse(file.toString(), Files.readString(file)).findMissed(tally);
    }

    private static List<String> findMissed(Scenario scenario) throws IOException {
        return findMissed(scenario, replay(scenario, PolicySet.STANDARD, 6, 0));
    }

    @Test
    void theSameTraceAndSeedGiveTheSameOutcome() throws IOException {
        assertThat(replay(Scenario.NIGHT, PolicySet.STANDARD, 6, 0).toText())
                .isEqualTo(replay(Scenario.NIGHT, PolicySet.STANDARD, 6, 0).toText());
    }

    @Test
    void allClassesMeetTheirOutcomeWithMostlyReadingCalls() throws IOException {
        assertThat(findMissed(Scenario.NIGHT)).isEmpty();
    }

    @Test
    void teamsBesideOneThatExceedsItsShareMeetTheirOutcome() throws IOException {
        assertThat(findMissed(Scenario.GREEDY_TEAM)).isEmpty();
    }

    @Test
    void allClassesMeetTheirOutcomeWhenEnginesAreReclaimed() throws IOException {
        ReplayTally tally = replay(Scenario.RECLAIMED, PolicySet.STANDARD, 4, 4);
        assertThat(findMissed(Scenario.RECLAIMED, tally)).isEmpty();
    }

    @Test
    void aRetryStormMeetsItsOutcome() throws IOException {
        assertThat(findMissed(Scenario.RETRY_STORM)).isEmpty();
    }

    @Test
    void allClassesMeetTheirOutcomeWithLaggingLoadReportsAndACrashedEngine() throws IOException {
        assertThat(findMissed(Scenario.LAGGING)).isEmpty();
    }

    @Test
    void theSwingMeetsItsOutcome() throws IOException {
        assertThat(findMissed(Scenario.SWING)).isEmpty();
    }

    @Test
    void theSwingHasAtLeastOneAndAHalfTimesTheGoodputOfStaticHalves() throws IOException {
        long standard = replay(Scenario.SWING, PolicySet.STANDARD, 6, 0).goodput();
        long halves = replay(Scenario.SWING, PolicySet.STATIC_HALVES, 6, 0).goodput();
        assertThat((double) standard / halves).isAtLeast(1.5);
    }
}
