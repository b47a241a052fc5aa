package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.settings.TomlSection;

/**
 * What a replay has to come to, as it was stated before.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param leastMetByClass least share of a class's first tries that meets the target
 * @param leastWorstTeam least share of the worst-served team's first tries that meets the target
 * @param exceptTeam a team that the worst-served one is not looked for in, or an empty string
 * @param mostRoleChanges most role changes
 * @param leastMoved least share of movable work on reclaimable engines
 */
public record StatedOutcomes(
        Map<String, Double> leastMetByClass,
        double leastWorstTeam,
        String exceptTeam,
        int mostRoleChanges,
        double leastMoved) {
    private static final int MANY = 1_000_000;

    public StatedOutcomes {
        leastMetByClass = Map.copyOf(leastMetByClass);
    }

    /**
     * Returns the outcomes written in TOML.
     *
     * @param file name for the findings
     * @param text the file's text
     * @throws org.vanilladoor.common.InvalidInputException with every finding
     */
    public static StatedOutcomes parse(String file, String text) {
        TomlSection top = TomlSection.parse(file, text);
        Map<String, Double> classes = new TreeMap<>();
        for (TomlSection section : top.sections("class")) {
            classes.put(section.text("name"), section.number("least_met", 0, 1, 0));
        }
        TomlSection teams = top.section("teams");
        StatedOutcomes outcomes =
                new StatedOutcomes(
                        classes,
                        teams.number("least_worst", 0, 1, 0),
                        teams.optionalText("except").orElse(""),
                        (int) top.section("roles").integer("most_changes", 0, MANY, MANY),
                        top.section("spend").number("least_moved", 0, 1, 0));
        top.throwIfInvalid();
        return outcomes;
    }

    /** Returns what a replay missed, a line each. */
    public List<String> findMissed(ReplayTally tally) {
        List<String> missed = new ArrayList<>();
        leastMetByClass.forEach(
                (name, least) -> atLeast(missed, "class " + name, tally.metShare(name), least));
        double worst =
                tally.teams().stream()
                        .filter(team -> !team.equals(exceptTeam))
                        .mapToDouble(tally::teamMetShare)
                        .min()
                        .orElse(1);
        atLeast(missed, "worst-served team", worst, leastWorstTeam);
        atLeast(missed, "movable work moved", tally.movedShare(), leastMoved);
        if (tally.roleChanges() > mostRoleChanges) {
            missed.add("role changes are " + tally.roleChanges() + ", at most " + mostRoleChanges);
        }
        return missed;
    }

    private static void atLeast(List<String> missed, String what, double value, double least) {
        if (value < least) {
            missed.add(String.format(Locale.ROOT, "%s is %.3f, at least %.3f", what, value, least));
        }
    }
}
