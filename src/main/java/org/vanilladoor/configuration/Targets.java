package org.vanilladoor.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What operators ask of the system: classes of work, teams, models and services.
 *
 * <p>Invariant: names are unique within their kind and every reference names something that is
 * there. Immutable and safe for use by any thread.
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

    /** Returns targets with the given parts. */
    public static Targets of(
            List<WorkClass> classes,
            List<Team> teams,
            List<Model> models,
            List<Service> services,
            Limits limits) {
        return new Targets(
                index(classes, WorkClass::name),
                index(teams, Team::name),
                index(models, Model::name),
                index(services, Service::name),
                limits);
    }

    /** Returns targets that name nothing. */
    public static Targets empty() {
        return of(List.of(), List.of(), List.of(), List.of(), Limits.standard());
    }

    /** Returns the class of that name. */
    public Optional<WorkClass> workClass(String name) {
        return Optional.ofNullable(mClasses.get(name));
    }

    /** Returns the team of that name. */
    public Optional<Team> team(String name) {
        return Optional.ofNullable(mTeams.get(name));
    }

    /** Returns the model of that name. */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(mModels.get(name));
    }

    /** Returns the service of that name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all classes. */
    public List<WorkClass> classes() {
        return List.copyOf(mClasses.values());
    }

    /** Returns all teams. */
    public List<Team> teams() {
        return List.copyOf(mTeams.values());
    }

    /** Returns all models. */
    public List<Model> models() {
        return List.copyOf(mModels.values());
    }

    /** Returns all services. */
    public List<Service> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the limits for the whole deployment. */
    public Limits limits() {
        return mLimits;
    }

    private static <T> Map<String, T> index(List<T> items, Function<T, String> name) {
        return items.stream()
                .collect(
                        Collectors.toMap(
                                name,
                                Function.identity(),
                                (first, second) -> {
                                    throw new IllegalArgumentException(
                                            "name stands twice: " + name.apply(first));
                                },
                                TreeMap::new));
    }

    /**
     * Limits for the whole deployment.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param spendCeilingPerHour most that endpoints may cost in an hour, in the platform's
     *     currency
     * @param claimRetentionMinutes how long an idempotency key is remembered
     */
    public record Limits(double spendCeilingPerHour, int claimRetentionMinutes) {
        private static final int STANDARD_RETENTION_MINUTES = 60;
        private static final double NO_CEILING = 1e9;

        /** Returns the limits in force where operators name none. */
        @JsonIgnore
        public static Limits standard() {
            return new Limits(NO_CEILING, STANDARD_RETENTION_MINUTES);
        }
    }
}
