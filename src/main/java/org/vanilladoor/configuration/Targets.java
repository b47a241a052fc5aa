package org.vanilladoor.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The targets that operators set: classes of work, teams, models, services and limits.
 *
 * <p>Invariant: names are unique within their kind, and every referenced class of work exists
 * (checked by {@link TargetsFile}). Immutable and safe for use by any thread.
 *
 * @see TargetsFile
 */
public final class Targets {
    private final Map<String, WorkClass> mClasses;
    private final Map<String, Team> mTeams;
    private final Map<String, Model> mModels;
    private final Map<String, Service> mServices;
    private final Limits mLimits;

    private Targets(
            Map<String, WorkClass> classes,
            Map<String, Team> teams,
            Map<String, Model> models,
            Map<String, Service> services,
            Limits limits) {
        mClasses = classes;
        mTeams = teams;
        mModels = models;
        mServices = services;
        mLimits = limits;
    }

    /**
     * Returns targets with the given content.
     *
     * @throws IllegalArgumentException if a name occurs more than once within its kind
     */
    public static Targets of(
            List<WorkClass> classes,
            List<Team> teams,
            List<Model> models,
            List<Service> services,
            Limits limits) {
        return new Targets(
                indexByName(classes, WorkClass::name),
                indexByName(teams, Team::name),
                indexByName(models, Model::name),
                indexByName(services, Service::name),
                limits);
    }

    /** Returns targets without classes, teams, models and services, with the standard limits. */
    public static Targets empty() {
        return of(List.of(), List.of(), List.of(), List.of(), Limits.standard());
    }

    /** Returns the class of work with the given name. */
    public Optional<WorkClass> workClass(String name) {
        return Optional.ofNullable(mClasses.get(name));
    }

    /** Returns the team with the given name. */
    public Optional<Team> team(String name) {
        return Optional.ofNullable(mTeams.get(name));
    }

    /** Returns the model with the given name. */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(mModels.get(name));
    }

    /** Returns the service with the given name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all classes of work, sorted by name. */
    public List<WorkClass> classes() {
        return List.copyOf(mClasses.values());
    }

    /** Returns all teams, sorted by name. */
    public List<Team> teams() {
        return List.copyOf(mTeams.values());
    }

    /** Returns all models, sorted by name. */
    public List<Model> models() {
        return List.copyOf(mModels.values());
    }

    /** Returns all services, sorted by name. */
    public List<Service> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the limits for the whole deployment. */
    public Limits limits() {
        return mLimits;
    }

    private static <T> Map<String, T> indexByName(List<T> items, Function<T, String> name) {
        return items.stream()
                .collect(
                        Collectors.toMap(
                                name,
                                Function.identity(),
                                (first, second) -> {
                                    throw new IllegalArgumentException(
                                            "name is defined more than once: " + name.apply(first));
                                },
                                TreeMap::new));
    }

    /**
     * Limits for the whole deployment.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param spendCeilingPerHour maximum cost of all endpoints per hour, in the platform's currency
     * @param claimRetentionMinutes how long the claim on an idempotency key is kept
     */
    public record Limits(double spendCeilingPerHour, int claimRetentionMinutes) {
        private static final int STANDARD_RETENTION_MINUTES = 60;
        private static final double UNLIMITED_SPEND_PER_HOUR = 1e9;

        /** Returns the limits that apply unless operators set others. */
        @JsonIgnore
        public static Limits standard() {
            return new Limits(UNLIMITED_SPEND_PER_HOUR, STANDARD_RETENTION_MINUTES);
        }
    }
}
