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

/** Replays of seeded traces against the outcomes stated under examples/outcomes. */
class StatedOutcomeTests {
    private static final List<String> DOMAINS =
            List.of("muscat-1", "muscat-2", "muscat-3", "muscat-4");

    private static ReplayTally replay(Scenario scenario, PolicySet set, int steady, int reclaimable)
            throws IOException {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.targets());
        ReplayFleet fleet =
                new ReplayFleet(13, steady, reclaimable, DOMAINS, set.prefillEngineCount());
        return Replay.run(
                scenario.createTrace(targets, DOMAINS, 1), fleet, targets, set.policies());
    }

    private static List<String> missed(Scenario scenario, ReplayTally tally) throws IOException {
        Path file = Path.of("examples", "outcomes", scenario.fileName() + ".toml");
        return StatedOutcomes.parse(file.toString(), Files.readString(file)).findMissed(tally);
    }

    private static List<String> missed(Scenario scenario) throws IOException {
        return missed(scenario, replay(scenario, PolicySet.STANDARD, 6, 0));
    }

    @Test
    void theSameTraceAndSeedGiveTheSameOutcome() throws IOException {
        assertThat(replay(Scenario.NIGHT, PolicySet.STANDARD, 6, 0).toText())
                .isEqualTo(replay(Scenario.NIGHT, PolicySet.STANDARD, 6, 0).toText());
    }

    @Test
    void aNightOfReadingsBesideChatMeetsItsOutcome() throws IOException {
        assertThat(missed(Scenario.NIGHT)).isEmpty();
    }

    @Test
    void oneGreedyTeamLeavesTheOthersTheirOutcome() throws IOException {
        assertThat(missed(Scenario.GREEDY_TEAM)).isEmpty();
    }

    @Test
    void reclaimedEnginesLeaveEverybodyTheirOutcome() throws IOException {
        ReplayTally tally = replay(Scenario.RECLAIMED, PolicySet.STANDARD, 4, 4);
        assertThat(missed(Scenario.RECLAIMED, tally)).isEmpty();
    }

    @Test
    void aRetryStormMeetsItsOutcome() throws IOException {
        assertThat(missed(Scenario.RETRY_STORM)).isEmpty();
    }

    @Test
    void laggingLoadsAndALostEngineMeetTheirOutcome() throws IOException {
        assertThat(missed(Scenario.LAGGING)).isEmpty();
    }

    @Test
    void theSwingMeetsItsOutcome() throws IOException {
        assertThat(missed(Scenario.SWING)).isEmpty();
    }

    @Test
    void theSwingHasMoreThanOnceAndAHalfTheGoodputOfStaticHalves() throws IOException {
        long standard = replay(Scenario.SWING, PolicySet.STANDARD, 6, 0).goodput();
        long halves = replay(Scenario.SWING, PolicySet.STATIC_HALVES, 6, 0).goodput();
        assertThat((double) standard / halves).isAtLeast(1.5);
    }
}
