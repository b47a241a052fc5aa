package org.vanilladoor.load;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.vanilladoor.configuration.Model;
import org.vanilladoor.configuration.Service;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.WorkClass;

/**
 * Generates random calls of all kinds of work from a seed.
 *
 * <p>Not safe for use by several threads.
 */
public final class LoadMix {
    private static final int CHAT_CHARACTERS = 1_200;
    private static final int READING_CHARACTERS = 16_000;
    private static final int CHAT_OUTPUT_TOKENS = 24;
    private static final int READING_OUTPUT_TOKENS = 6;
    private static final int CHARACTERS_PER_PREFIX_REPEAT = 64;
    private static final double CHAT_SHARE = 0.45;
    private static final double READING_SHARE = 0.1;
    private static final double ONCE_SHARE = 0.2;
    private final Targets mTargets;
    private final List<Map.Entry<String, String>> mTeamsWithKeys;
    private final Random mRandom;
    private long mCallCount;

    private LoadMix(Targets targets, List<Map.Entry<String, String>> teamsWithKeys, Random random) {
        mTargets = targets;
        mTeamsWithKeys = teamsWithKeys;
        mRandom = random;
    }

    /**
     * Returns a generator of calls.
     *
     * @param targets classes of work, models and services; the calls use the first model and the
     *     first service
     * @param keysByTeam one key of each team by the team's name
     * @param seed seed of the random numbers; the same seed gives the same calls
     */
    public static LoadMix create(Targets targets, Map<String, String> keysByTeam, long seed) {
        return new LoadMix(
                targets,
                keysByTeam.entrySet().stream().sorted(Map.Entry.comparingByKey()).toList(),
                new Random(seed));
    }

    /** Returns the next call. */
    public PlannedCall nextCall() {
        Map.Entry<String, String> teamWithKey =
                mTeamsWithKeys.get(mRandom.nextInt(mTeamsWithKeys.size()));
        Model model = mTargets.models().get(0);
        Service service = mTargets.services().get(0);
        double randomShare = mRandom.nextDouble();
        mCallCount++;
        if (randomShare < CHAT_SHARE) {
            return modelCall(
                    teamWithKey,
                    model.classes().get(0),
                    model,
                    CHAT_CHARACTERS,
                    CHAT_OUTPUT_TOKENS);
        }
        if (randomShare < CHAT_SHARE + READING_SHARE) {
            String readingClass = model.classes().get(model.classes().size() - 1);
            return modelCall(
                    teamWithKey, readingClass, model, READING_CHARACTERS, READING_OUTPUT_TOKENS);
        }
        boolean isOnce = randomShare < CHAT_SHARE + READING_SHARE + ONCE_SHARE;
        WorkClass workClass =
                mTargets.workClass(isOnce ? service.workClass() : service.lookupClass())
                        .orElseThrow();
        String idempotencyKey = isOnce ? "load-" + mCallCount + "-" + mRandom.nextLong() : "";
        return new PlannedCall(
                teamWithKey.getKey(),
                teamWithKey.getValue(),
                workClass.name(),
                service.name(),
                "item " + mCallCount,
                0,
                idempotencyKey);
    }

    private PlannedCall modelCall(
            Map.Entry<String, String> teamWithKey,
            String workClass,
            Model model,
            int promptCharacters,
            int outputTokens) {
        String sharedPrefix =
                ("house menu of " + teamWithKey.getKey() + " ")
                        .repeat(promptCharacters / CHARACTERS_PER_PREFIX_REPEAT);
        String text =
                sharedPrefix + "question " + mCallCount + " " + "x".repeat(promptCharacters / 2);
        return new PlannedCall(
                teamWithKey.getKey(),
                teamWithKey.getValue(),
                workClass,
                model.name(),
                text,
                outputTokens,
                "");
    }
}
