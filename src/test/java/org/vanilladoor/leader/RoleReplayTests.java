package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanilladoor.engine.EngineRole;

/**
 * Replays loads against the role planner. They guard against a day on which nine engines were
 * switched to decode for requests that only waited for their KV cache, and one engine prefilled all
 * prompts beside twelve idle ones.
 */
class RoleReplayTests {
    /** Share of the decode engines' slots below which most of them have nothing to do. */
    private static final double MOSTLY_IDLE_SHARE = 0.5;

    /**
     * From 7 s on, reclaimable engines of two failure domains are lost and KV cache transfers are
     * slow: running requests rise to 90, of which few generate.
     */
    @Test
    void slowTransfersAndLostEnginesDoNotTakeThePrefillEngines() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.PREFILL, 5)
                        .addEngines("c", EngineRole.PREFILL, 5)
                        .addEngines("a", EngineRole.DECODE, 2)
                        .addEngines("b", EngineRole.DECODE, 2)
                        .addEngines("c", EngineRole.DECODE, 1)
                        .prompts(millis -> 227)
                        .running(RoleReplayTests::runningOnThatDay, millis -> awaiting(millis));
        replay.playUntil(7_000, () -> checkPrefill(replay));
        replay.removeEngines("b", EngineRole.PREFILL, 3);
        replay.removeEngines("b", EngineRole.DECODE, 1);
        replay.playUntil(9_000, () -> checkPrefill(replay));
        replay.removeEngines("c", EngineRole.PREFILL, 2);
        replay.removeEngines("c", EngineRole.DECODE, 1);
        replay.playUntil(30_000, () -> checkPrefill(replay));
        assertThat(replay.refusedMillis()).isEmpty();
    }

    private static int runningOnThatDay(int millis) {
        if (millis < 7_000) {
            return 20;
        }
        int risen = Math.min(90, 20 + (millis - 7_000) * 70 / 4_000);
        return millis < 17_000 ? risen : 18 + (millis / 1_000 * 13) % 36;
    }

    private static int awaiting(int millis) {
        return Math.max(0, runningOnThatDay(millis) - 16);
    }

    /** Checks that no prompt lacks an engine while decode engines have little to do. */
    private static void checkPrefill(RoleReplay replay) {
        int needed =
                (int) Math.ceil(replay.promptsPerSecond() / RoleReplay.PROMPTS_PER_ENGINE_SECOND);
        int prefill = replay.engines(EngineRole.PREFILL);
        boolean lacksPrefill = prefill < needed && replay.engines(EngineRole.DECODE) > 2;
        assertWithMessage(
                        "at %s ms: %s prefill engines of %s, %s needed; %s of the slots generate",
                        replay.nowMillis(),
                        prefill,
                        replay.size(),
                        needed,
                        replay.generatingShare())
                .that(lacksPrefill && replay.generatingShare() < MOSTLY_IDLE_SHARE)
                .isFalse();
    }

    /**
     * A crowd of chats is over when long prompts arrive; its peak decays over a minute. Prompts are
     * refused while the engines change, and no longer.
     */
    @Test
    void waitingPromptsAreHeardWhileAPeakOfRunningRequestsDecays() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.DECODE, 3)
                        .prompts(millis -> millis < 25_000 ? 20 : 227)
                        .running(
                                millis -> millis >= 8_000 && millis < 20_000 ? 100 : 20,
                                millis -> 0);
        replay.playUntil(20_000, () -> {});
        assertThat(replay.engines(EngineRole.DECODE)).isAtLeast(8);
        replay.playUntil(60_000, () -> {});
        assertThat(replay.engines(EngineRole.PREFILL)).isAtLeast(8);
        assertThat(lastRefusalMillis(replay)).isLessThan(33_000);
    }

    private static long lastRefusalMillis(RoleReplay replay) {
        return replay.refusedMillis().stream().mapToLong(each -> each).max().orElse(0);
    }

    /** Chats that rise get all engines that prompts leave, but none that prompts need. */
    @Test
    void aRiseOfChatsTakesNoEngineThatPromptsNeed() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.DECODE, 3)
                        .prompts(millis -> 110)
                        .running(millis -> millis < 15_000 ? 20 : 100, millis -> 0);
        replay.playUntil(40_000, () -> assertThat(replay.engines(EngineRole.PREFILL)).isAtLeast(4));
        assertThat(replay.engines(EngineRole.DECODE)).isAtLeast(7);
        assertThat(replay.refusedMillis()).isEmpty();
    }

    /** Both phases need more engines than there are: each gets its share, and none is starved. */
    @Test
    void enginesAreSharedByNeedWhenThereAreTooFewForBothPhases() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 4)
                        .addEngines("b", EngineRole.PREFILL, 4)
                        .addEngines("b", EngineRole.DECODE, 4)
                        .prompts(millis -> 227)
                        .running(millis -> millis < 10_000 ? 20 : 128, millis -> 0);
        replay.playUntil(60_000, () -> {});
        assertThat(replay.engines(EngineRole.PREFILL)).isAtLeast(4);
        assertThat(replay.engines(EngineRole.DECODE)).isAtLeast(4);
        assertWithMessage("%s", replay.changes())
                .that(replay.changes().stream().filter(each -> each.millis() > 30_000).toList())
                .isEmpty();
    }

    /** Prompts and chats rise and fall by turns within seconds, faster than engines can change. */
    @Test
    void rolesDoNotFlapWhileTheLoadSwings() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.PREFILL, 5)
                        .addEngines("b", EngineRole.DECODE, 3)
                        .prompts(millis -> millis / 4_000 % 2 == 0 ? 120 : 240)
                        .running(millis -> millis / 4_000 % 2 == 0 ? 40 : 20, millis -> 0);
        replay.playUntil(120_000, () -> {});
        Map<String, Integer> changes = new HashMap<>();
        replay.changes().forEach(each -> changes.merge(each.engine(), 1, Integer::sum));
        assertWithMessage("%s", replay.changes())
                .that(changes.values().stream().allMatch(each -> each <= 2))
                .isTrue();
        assertThat(replay.changes().size()).isAtMost(8);
    }

    /** A burst that the engines have prefilled before another one could help them. */
    @Test
    void aBurstThatIsOverBeforeAnEngineCouldHelpChangesNoRole() {
        RoleReplay replay =
                RoleReplay.create()
                        .addEngines("a", EngineRole.PREFILL, 6)
                        .addEngines("b", EngineRole.DECODE, 6)
                        .prompts(millis -> millis >= 15_000 && millis < 16_000 ? 400 : 90)
                        .running(millis -> 50, millis -> 0);
        replay.playUntil(40_000, () -> {});
        assertThat(replay.refusedMillis()).isEmpty();
        assertThat(replay.changes().stream().filter(each -> each.millis() > 10_000).toList())
                .isEmpty();
    }

    /**
     * On calm days, as of earlier deployments, prompts leave the prefill engines room, and chats
     * rise to three times their number within seconds. The new figures change no decision then.
     */
    @ParameterizedTest
    @CsvSource({"40,10,0", "90,10,20", "60,30,4", "40,30,0", "10,30,0", "150,4,0", "0,30,0"})
    void calmLoadsAreDecidedAsBefore(int prompts, int running, int awaiting) {
        List<RoleReplay.Change> changes = calmDay(RoleReplay.create(), prompts, running, awaiting);
        List<RoleReplay.Change> previous =
                calmDay(RoleReplay.createWithPreviousPlanner(), prompts, running, 0);
        assertThat(changes).isEqualTo(previous);
    }

    /** Plays loads; requests that wait for their cache come on top of those that generate. */
    private static List<RoleReplay.Change> calmDay(
            RoleReplay replay, int prompts, int running, int awaiting) {
        replay.addEngines("a", EngineRole.DECODE, 6)
                .addEngines("b", EngineRole.DECODE, 6)
                .addEngines("c", EngineRole.DECODE, 4)
                .prompts(millis -> prompts)
                .running(
                        millis -> awaiting + (millis / 10_000 % 6 == 3 ? 3 * running : running),
                        millis -> awaiting);
        replay.playUntil(150_000, () -> {});
        assertWithMessage("refused once there are prefill engines")
                .that(replay.refusedMillis().stream().filter(each -> each > 10_000).toList())
                .isEmpty();
        return replay.changes();
    }
}
