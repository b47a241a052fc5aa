package org.vanilladoor.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.settings.TomlSection;

/**
 * Parses the operators' targets from TOML.
 *
 * <p>Not safe for use by several threads.
 *
 * @see Targets
 */
public final class TargetsFile {
    private static final int MAXIMUM_MILLIS = 24 * 3_600_000;
    private static final int MAXIMUM_RETENTION_MINUTES = 7 * 24 * 60;
    private static final double MAXIMUM_SHARE = 1e6;
    private static final double MAXIMUM_SPEND_CEILING_PER_HOUR = 1e9;
    private static final int DEFAULT_FIRST_TOKEN_MILLIS = 1_000;
    private static final int DEFAULT_DEADLINE_MILLIS = 60_000;
    private static final double DEFAULT_OBJECTIVE = 0.95;
    private static final double DEFAULT_SHARE = 1.0;
    private static final double MAXIMUM_ALLOWANCE = 1e12;
    private static final long DEFAULT_PLAIN_TOKENS = 200;
    private final TomlSection mRoot;
    private final Set<String> mClassNames = new HashSet<>();

    private TargetsFile(TomlSection root) {
        mRoot = root;
    }

    /**
     * Parses targets.
     *
     * @param file file name to use in error messages
     * @param text content of the file
     * @throws org.vanilladoor.common.InvalidInputException if the text is invalid, with all errors
     *     found
     */
    public static Targets parse(String file, String text) {
        return new TargetsFile(TomlSection.parse(file, text)).read();
    }

    private Targets read() {
        List<WorkClass> classes = readClasses();
        List<Team> teams = readTeams();
        List<Model> models = readModels();
        List<Service> services = readServices();
        Targets.Limits limits = readLimits(mRoot.section("limits"));
        mRoot.throwIfInvalid();
        return Targets.of(classes, teams, models, services, limits);
    }

    private List<WorkClass> readClasses() {
        List<WorkClass> classes = new ArrayList<>();
        for (TomlSection section : mRoot.sections("class")) {
            WorkKind kind = section.enumConstant("kind", WorkKind.class, WorkKind.INTERACTIVE);
            WorkClass workClass =
                    new WorkClass(
                            uniqueName(section, mClassNames),
                            kind,
                            (int)
                                    section.integer(
                                            "first_token_ms",
                                            1,
                                            MAXIMUM_MILLIS,
                                            DEFAULT_FIRST_TOKEN_MILLIS),
                            (int) section.integer("between_tokens_ms", 0, MAXIMUM_MILLIS, 0),
                            (int)
                                    section.integer(
                                            "deadline_ms",
                                            1,
                                            MAXIMUM_MILLIS,
                                            DEFAULT_DEADLINE_MILLIS),
                            section.flag("reclaimable", false),
                            section.number("objective", 0.0, 1.0, DEFAULT_OBJECTIVE));
            if (workClass.reclaimable() && !kind.isRetryable()) {
                section.addFinding(
                        "reclaimable",
                        "is not allowed for a kind of work that must not be retried");
            }
            if (workClass.deadlineMillis() < workClass.firstTokenMillis()) {
                section.addFinding("deadline_ms", "is less than first_token_ms");
            }
            classes.add(workClass);
        }
        return classes;
    }

    private List<Team> readTeams() {
        Set<String> names = new HashSet<>();
        List<Team> teams = new ArrayList<>();
        for (TomlSection section : mRoot.sections("team")) {
            teams.add(
                    new Team(
                            uniqueName(section, names),
                            section.number(
                                    "share", Double.MIN_NORMAL, MAXIMUM_SHARE, DEFAULT_SHARE),
                            existingClasses(section),
                            section.flag("served_without_store", true),
                            readAllowance(section)));
        }
        return teams;
    }

    /** Returns the team's allowance, or null if its rate is zero or absent. */
    private static Allowance readAllowance(TomlSection section) {
        double rate = section.number("rate_per_second", 0, MAXIMUM_ALLOWANCE, 0);
        double burst = section.number("burst", 0, MAXIMUM_ALLOWANCE, 0);
        AllowanceUnit unit =
                section.enumConstant("unit", AllowanceUnit.class, AllowanceUnit.REQUESTS);
        long plainTokens =
                section.integer("plain_tokens", 0, (long) MAXIMUM_ALLOWANCE, DEFAULT_PLAIN_TOKENS);
        if (rate > 0) {
            return new Allowance(unit, rate, burst > 0 ? burst : rate, plainTokens);
        }
        if (burst > 0) {
            section.addFinding("burst", "has no effect without rate_per_second");
        }
        return null;
    }

    private List<Model> readModels() {
        Set<String> names = new HashSet<>();
        List<Model> models = new ArrayList<>();
        for (TomlSection section : mRoot.sections("model")) {
            List<String> classes = existingClasses(section);
            if (classes.isEmpty()) {
                section.addFinding("classes", "must name at least one class");
            }
            models.add(new Model(uniqueName(section, names), classes));
        }
        return models;
    }

    private List<Service> readServices() {
        Set<String> names = new HashSet<>();
        List<Service> services = new ArrayList<>();
        for (TomlSection section : mRoot.sections("service")) {
            String name = uniqueName(section, names);
            String workClass = existingClass(section, "class");
            String lookupClass =
                    section.optionalText("lookup_class").isPresent()
                            ? existingClass(section, "lookup_class")
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
                        MAXIMUM_SPEND_CEILING_PER_HOUR,
                        standard.spendCeilingPerHour()),
                (int)
                        section.integer(
                                "claim_retention_minutes",
                                1,
                                MAXIMUM_RETENTION_MINUTES,
                                standard.claimRetentionMinutes()));
    }

    /**
     * Returns the name; a duplicate is reported and gets a suffix, so that parsing can continue.
     */
    private static String uniqueName(TomlSection section, Set<String> names) {
        String name = section.requiredText("name");
        if (!name.isEmpty() && !names.add(name)) {
            section.addFinding("name", "is defined more than once: " + name);
            return name + "#" + names.size();
        }
        return name;
    }

    private List<String> existingClasses(TomlSection section) {
        List<String> classes = section.textList("classes");
        classes.stream()
                .filter(name -> !mClassNames.contains(name))
                .forEach(
                        name ->
                                section.addFinding(
                                        "classes", "refers to an unknown class: " + name));
        return classes;
    }

    private String existingClass(TomlSection section, String key) {
        String name = section.requiredText(key);
        if (!name.isEmpty() && !mClassNames.contains(name)) {
            section.addFinding(key, "refers to an unknown class: " + name);
        }
        return name;
    }
}
