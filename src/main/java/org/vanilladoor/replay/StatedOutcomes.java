package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.settings.TomlSection;

/**
 * The outcomes that a replay is required to reach, read from a TOML file.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param minimumMetShareByClass by class, minimum share of first attempts that meet the target
 * @param minimumWorstTeamMetShare minimum share of first attempts that meet the target, for the
 *     team where this share is lowest
 * @param excludedTeam name of a team that is not considered for {@code minimumWorstTeamMetShare},
 *     or an empty string
 * @param maximumRoleChanges maximum number of role changes
 * @param minimumReclaimableEngineShare minimum share of the tokens of reclaimable classes that are
 *     assigned to reclaimable engines
 */
public record StatedOutcomes(
        Map<String, Double> minimumMetShareByClass,
        double minimumWorstTeamMetShare,
        String excludedTeam,
        int maximumRoleChanges,
        double minimumReclaimableEngineShare) {
    private static final int UNLIMITED_ROLE_CHANGES = 1_000_000;

    public StatedOutcomes {
        minimumMetShareByClass = Map.copyOf(minimumMetShareByClass);
    }

    /**
     * Parses outcomes written in TOML. A key that is absent requires nothing.
     *
     * @param file file name that findings refer to
     * @param text content of the file
     * @throws org.vanilladoor.common.InvalidInputException with all findings if the text is invalid
     */
    public static StatedOutcomes parse(String file, String text) {
        TomlSection top = TomlSection.parse(file, text);
        Map<String, Double> classes = new TreeMap<>();
        for (TomlSection section : top.sections("class")) {
            classes.put(section.requiredText("name"), section.number("least_met", 0, 1, 0));
        }
        TomlSection teams = top.section("teams");
        StatedOutcomes outcomes =
                new StatedOutcomes(
                        classes,
                        teams.number("least_worst", 0, 1, 0),
                        teams.optionalText("except").orElse(""),
                        (int)
                                top.section("roles")
                                        .integer(
                                                "most_changes",
                                                0,
                                                UNLIMITED_ROLE_CHANGES,
                                                UNLIMITED_ROLE_CHANGES),
                        top.section("spend").number("least_moved", 0, 1, 0));
        top.throwIfInvalid();
        return outcomes;
    }

    /** Returns a line for each required outcome that a replay missed. */
    public List<String> findMissed(ReplayTally tally) {
        List<String> missed = new ArrayList<>();
        minimumMetShareByClass.forEach(
                (name, minimum) ->
                        checkMinimum(missed, "class " + name, tally.classMetShare(name), minimum));
        double worstTeamMetShare =
                tally.teams().stream()
                        .filter(team -> !team.equals(excludedTeam))
                        .mapToDouble(tally::teamMetShare)
                        .min()
                        .orElse(1);
        checkMinimum(missed, "worst-served team", worstTeamMetShare, minimumWorstTeamMetShare);
        checkMinimum(
                missed,
                "reclaimable work on reclaimable engines",
                tally.reclaimableEngineShare(),
                minimumReclaimableEngineShare);
        if (tally.roleChangeCount() > maximumRoleChanges) {
            missed.add(
                    "role changes are "
                            + tally.roleChangeCount()
                            + ", required at most "
                            + maximumRoleChanges);
        }
        return missed;
    }

    private static void checkMinimum(
            List<String> missed, String quantity, double value, double minimum) {
        if (value < minimum) {
            missed.add(
                    String.format(
                            Locale.ROOT,
                            "%s is %.3f, required at least %.3f",
                            quantity,
                            value,
                            minimum));
        }
    }
}
