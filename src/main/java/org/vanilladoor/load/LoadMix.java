package org.vanilladoor.load;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.vanilladoor.configuration.Model;
import org.vanilladoor.configuration.Service;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.WorkClass;

/**
 * Draws calls of all kinds of work from a seed.
 *
 * <p>Not safe for use by several threads.
 */
public final class LoadMix {
    private static final int CHAT_CHARACTERS = 1_200;
    private static final int READING_CHARACTERS = 16_000;
    private static final int CHAT_TOKENS = 24;
    private static final int READING_TOKENS = 6;
    private static final double CHAT_SHARE = 0.45;
    private static final double READING_SHARE = 0.1;
    private static final double ONCE_SHARE = 0.2;
    private final Targets mTargets;
    private final List<Map.Entry<String, String>> mKeys;
    private final Random mRandom;
    private long mNumber;

    private LoadMix(Targets targets, List<Map.Entry<String, String>> keys, Random random) {
        mTargets = targets;
        mKeys = keys;
        mRandom = random;
    }

    /**
     * Returns a mix.
     *
     * @param targets names the classes, models and services
     * @param keyOfTeam a key of each team
     * @param seed the same seed draws the same calls
     */
    public static LoadMix create(Targets targets, Map<String, String> keyOfTeam, long seed) {
        return new LoadMix(
                targets,
                keyOfTeam.entrySet().stream().sorted(Map.Entry.comparingByKey()).toList(),
                new Random(seed));
    }

    /** Draws the next call. */
    public PlannedCall next() {
        Map.Entry<String, String> team = mKeys.get(mRandom.nextInt(mKeys.size()));
        Model model = mTargets.models().get(0);
        Service service = mTargets.services().get(0);
        double draw = mRandom.nextDouble();
        mNumber++;
        if (draw < CHAT_SHARE) {
            return modelCall(team, model.classes().get(0), model, CHAT_CHARACTERS, CHAT_TOKENS);
        }
        if (draw < CHAT_SHARE + READING_SHARE) {
            String reading = model.classes().get(model.classes().size() - 1);
            return modelCall(team, reading, model, READING_CHARACTERS, READING_TOKENS);
        }
        boolean once = draw < CHAT_SHARE + READING_SHARE + ONCE_SHARE;
        WorkClass workClass =
                mTargets.workClass(once ? service.workClass() : service.lookupClass())
                        .orElseThrow();
        String idempotencyKey = once ? "load-" + mNumber + "-" + mRandom.nextLong() : "";
        return new PlannedCall(
                team.getKey(),
                team.getValue(),
                workClass.name(),
                service.name(),
                "item " + mNumber,
                0,
                idempotencyKey);
    }

    private PlannedCall modelCall(
            Map.Entry<String, String> team,
            String workClass,
            Model model,
            int characters,
            int tokens) {
        String prefix = ("house menu of " + team.getKey() + " ").repeat(characters / 64);
        String text = prefix + "question " + mNumber + " " + "x".repeat(characters / 2);
        return new PlannedCall(
                team.getKey(), team.getValue(), workClass, model.name(), text, tokens, "");
    }
}
