package org.vanilladoor.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.vanilladoor.settings.TomlSection;

/**
 * Reads operators' targets from TOML.
 *
 * <p>Not safe for use by several threads.
 *
 * @see Targets
 */
public final class TargetsFile {
    private static final int LONGEST_MILLIS = 24 * 3_600_000;
    private static final int LONGEST_RETENTION_MINUTES = 7 * 24 * 60;
    private static final double LARGEST_SHARE = 1e6;
    private static final double LARGEST_CEILING = 1e9;
    private final TomlSection mTop;
    private final Set<String> mClassNames = new HashSet<>();

    private TargetsFile(TomlSection top) {
        mTop = top;
    }

    /**
     * Returns the targets written in TOML.
     *
     * @param file name for the findings
     * @param text the file's text
     * @throws org.vanilladoor.common.InvalidInputException with every finding
     */
    public static Targets parse(String file, String text) {
        return new TargetsFile(TomlSection.parse(file, text)).read();
    }

    private Targets read() {
        List<WorkClass> classes = readClasses();
        List<Team> teams = readTeams();
        List<Model> models = readModels();
        List<Service> services = readServices();
        Targets.Limits limits = readLimits(mTop.section("limits"));
        mTop.throwIfInvalid();
        return Targets.of(classes, teams, models, services, limits);
    }

    private List<WorkClass> readClasses() {
        List<WorkClass> classes = new ArrayList<>();
        for (TomlSection section : mTop.sections("class")) {
            WorkKind kind = section.enumConstant("kind", WorkKind.class, WorkKind.INTERACTIVE);
            WorkClass workClass =
                    new WorkClass(
                            uniqueName(section, mClassNames),
                            kind,
                            (int) section.integer("first_token_ms", 1, LONGEST_MILLIS, 1_000),
                            (int) section.integer("between_tokens_ms", 0, LONGEST_MILLIS, 0),
                            (int) section.integer("deadline_ms", 1, LONGEST_MILLIS, 60_000),
                            section.flag("reclaimable", false),
                            section.number("objective", 0.0, 1.0, 0.95));
            if (workClass.reclaimable() && !kind.isRetryable()) {
                section.addFinding(
                        "reclaimable", "work that may not be repeated can't be reclaimable");
            }
            if (workClass.deadlineMillis() < workClass.firstTokenMillis()) {
                section.addFinding("deadline_ms", "is below first_token_ms");
            }
            classes.add(workClass);
        }
        return classes;
    }

    private List<Team> readTeams() {
        Set<String> names = new HashSet<>();
        List<Team> teams = new ArrayList<>();
        for (TomlSection section : mTop.sections("team")) {
            teams.add(
                    new Team(
                            uniqueName(section, names),
                            section.number("share", Double.MIN_NORMAL, LARGEST_SHARE, 1.0),
                            knownClasses(section),
                            section.flag("served_without_store", true)));
        }
        return teams;
    }

    private List<Model> readModels() {
        Set<String> names = new HashSet<>();
        List<Model> models = new ArrayList<>();
        for (TomlSection section : mTop.sections("model")) {
            List<String> classes = knownClasses(section);
            if (classes.isEmpty()) {
                section.addFinding("classes", "names no class");
            }
            models.add(new Model(uniqueName(section, names), classes));
        }
        return models;
    }

    private List<Service> readServices() {
        Set<String> names = new HashSet<>();
        List<Service> services = new ArrayList<>();
        for (TomlSection section : mTop.sections("service")) {
            String name = uniqueName(section, names);
            String workClass = knownClass(section, "class");
            String lookupClass =
                    section.optionalText("lookup_class").isPresent()
                            ? knownClass(section, "lookup_class")
                            : workClass;
            services.add(new Service(name, workClass, lookupClass, section.flag("open", false)));
        }
        return services;
    }

    private static Targets.Limits readLimits(TomlSection section) {
        Targets.Limits standard = Targets.Limits.standard();
        return new Targets.Limits(
                section.number(
                        "spend_ceiling_per_hour",
                        0.0,
                        LARGEST_CEILING,
                        standard.spendCeilingPerHour()),
                (int)
                        section.integer(
                                "claim_retention_minutes",
                                1,
                                LONGEST_RETENTION_MINUTES,
                                standard.claimRetentionMinutes()));
    }

    private static String uniqueName(TomlSection section, Set<String> names) {
        String name = section.requiredText("name");
        if (!name.isEmpty() && !names.add(name)) {
            section.addFinding("name", "stands twice: " + name);
            return name + "#" + names.size();
        }
        return name;
    }

    private List<String> knownClasses(TomlSection section) {
        List<String> classes = section.textList("classes");
        classes.stream()
                .filter(name -> !mClassNames.contains(name))
                .forEach(name -> section.addFinding("classes", "names an unknown class: " + name));
        return classes;
    }

    private String knownClass(TomlSection section, String key) {
        String name = section.requiredText(key);
        if (!name.isEmpty() && !mClassNames.contains(name)) {
            section.addFinding(key, "names an unknown class: " + name);
        }
        return name;
    }
}
