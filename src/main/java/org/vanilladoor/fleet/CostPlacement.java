package org.vanilladoor.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint of a call by when it is expected to end the work.
 *
 * <p>Responds to requests whose work differs, endpoints whose speed differs, and loads that are
 * known late. Invariant: an engine without memory for a request is not chosen for it. Does no I/O;
 * time is passed in as an argument. Confined to the control thread.
 */
final class CostPlacement {
    /**
     * Maximum of the time that is taken to pass until newer loads are known. The minimum is the
     * work of one request, since its response is the first that shows that it was sent.
     */
    private static final double MAXIMUM_HORIZON_MILLIS = 400;

    /** Less than any difference that matters. */
    private static final double MINIMUM_SPREAD_MILLIS = 0.1;

    /** Outstanding work does not grow beyond about this many times the work of one request. */
    private static final double HORIZON_REQUESTS = 2;

    /** Part of the capacity that is taken to be in use at least. */
    private static final double MINIMUM_UTILIZATION = 0.25;

    /** Work in the preferred domain that outweighs distance, as a part of a request's work. */
    private static final double DOMAIN_ADVANTAGE = 0.3;

    /** Range of the random factor that keeps VMs from turning to one kind of engine at once. */
    private static final double MINIMUM_NOISE = 0.8;

    private static final double NOISE_RANGE = 0.4;

    private final String mOwnDomain;
    private final RandomGenerator mRandom;
    private final Map<String, ServiceCosts> mServices = new HashMap<>();

    private CostPlacement(String ownDomain, RandomGenerator random) {
        mOwnDomain = ownDomain;
        mRandom = random;
    }

    static CostPlacement create(String ownDomain, RandomGenerator random) {
        return new CostPlacement(ownDomain, random);
    }

    /** Returns whether an endpoint of the service has stated how long work takes there. */
    boolean isActive(String service) {
        ServiceCosts costs = mServices.get(service);
        return costs != null && costs.statesFactor();
    }

    void recordLoad(Endpoint endpoint, LoadSample sample, long nowMillis) {
        costs(endpoint.service()).recordLoad(endpoint, sample, nowMillis);
    }

    void removeUnlisted(Predicate<String> isListed) {
        mServices.values().forEach(costs -> costs.removeUnlisted(isListed));
    }

    CallCost open(
            RequestProfile request,
            Endpoint endpoint,
            WorkPhase phase,
            Optional<String> cacheDomain,
            long nowMillis) {
        ServiceCosts costs = costs(endpoint.service());
        boolean isNear = endpoint.failureDomain().equals(cacheDomain.orElse(mOwnDomain));
        boolean isHolder = costs.prefixUse().wasUsedAt(request.prefixKey(), endpoint, nowMillis);
        return CallCost.open(
                costs,
                request,
                phase,
                isNear,
                CostAssessment.option(
                        costs, request, phase, endpoint, isHolder, isHolder, isNear, nowMillis),
                nowMillis);
    }

    /** Returns whether one of the endpoints has memory for the request. */
    boolean hasRoom(
            RequestProfile request, WorkPhase phase, List<Endpoint> endpoints, long nowMillis) {
        return assess(request, phase, endpoints, mOwnDomain, nowMillis).options().stream()
                .anyMatch(CostAssessment.Option::hasRoom);
    }

    /**
     * Returns the endpoint that is to run a request, or empty if none has room.
     *
     * @param penalty factor of the expected end, for failures
     */
    Optional<Endpoint> chooseForRun(
            RequestProfile request,
            WorkPhase phase,
            List<Endpoint> endpoints,
            String domain,
            ToDoubleFunction<Endpoint> penalty,
            long nowMillis) {
        CostAssessment assessment = assess(request, phase, endpoints, domain, nowMillis);
        List<CostAssessment.Option> options = withRoom(assessment);
        if (request.hasPrompt()) {
            options = inOneDomain(options);
        }
        ServiceCosts costs = costs(request.service());
        return choose(
                options,
                option ->
                        (option.endMillis() + preferenceMillis(costs, request, phase, option))
                                * penalty.applyAsDouble(option.endpoint()),
                spreadMillis(assessment, options));
    }

    /**
     * Returns the engine that is to prefill a prompt, or empty if the wait at each is too long.
     *
     * @param maximumWaitMillis maximum of the expected wait at the engine
     */
    Optional<Endpoint> chooseForPrefill(
            RequestProfile request,
            List<Endpoint> engines,
            double maximumWaitMillis,
            long nowMillis) {
        CostAssessment assessment =
                assess(request, WorkPhase.PREFILL, engines, mOwnDomain, nowMillis);
        List<CostAssessment.Option> options = withRoom(assessment);
        ServiceCosts costs = costs(request.service());
        // Without a call of its own, a VM would not learn that the engines have room again.
        boolean hasCalls =
                engines.stream().anyMatch(engine -> costs.endpoint(engine).ownCalls() > 0);
        if (hasCalls) {
            options =
                    options.stream()
                            .filter(option -> option.waitMillis() <= maximumWaitMillis)
                            .toList();
        }
        double share = costs.prefixUse().share(request.prefixKey(), nowMillis);
        double prefixPart = request.prefixKey().isEmpty() ? 1 : Math.min(1, share * engines.size());
        return choose(
                options,
                option -> option.endMillis() + rereadMillis(costs, request, option),
                prefixPart * spreadMillis(assessment, options));
    }

    /**
     * Returns whether an engine that runs the request would end its prefill sooner than a prefill
     * engine and the transfer of the KV cache together.
     */
    boolean isOwnPrefillSooner(
            RequestProfile request,
            List<Endpoint> prefillEngines,
            List<Endpoint> runEngines,
            long nowMillis) {
        double own = soonestMillis(request, WorkPhase.RUN, runEngines, nowMillis);
        double prefill = soonestMillis(request, WorkPhase.PREFILL, prefillEngines, nowMillis);
        double run = soonestMillis(request, WorkPhase.RUN_WITH_CACHE, runEngines, nowMillis);
        double noise = MINIMUM_NOISE + NOISE_RANGE * mRandom.nextDouble();
        return own * noise < prefill + run;
    }

    private double soonestMillis(
            RequestProfile request, WorkPhase phase, List<Endpoint> endpoints, long nowMillis) {
        return assess(request, phase, endpoints, mOwnDomain, nowMillis).options().stream()
                .filter(CostAssessment.Option::hasRoom)
                .mapToDouble(CostAssessment.Option::firstResultMillis)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns what makes requests with the same prefix meet at an engine that prefills them. */
    private static double preferenceMillis(
            ServiceCosts costs,
            RequestProfile request,
            WorkPhase phase,
            CostAssessment.Option option) {
        return phase == WorkPhase.RUN ? rereadMillis(costs, request, option) : 0;
    }

    /** Returns the time that another read of a shared prefix takes from other prompts. */
    private static double rereadMillis(
            ServiceCosts costs, RequestProfile request, CostAssessment.Option option) {
        return option.isHolder()
                ? 0
                : option.slowness()
                        * request.sharedTokens()
                        * costs.promptTokenMillis(option.endpoint().role()).value();
    }

    private CostAssessment assess(
            RequestProfile request,
            WorkPhase phase,
            List<Endpoint> endpoints,
            String domain,
            long nowMillis) {
        return CostAssessment.of(
                costs(request.service()), request, phase, endpoints, domain, nowMillis);
    }

    private static List<CostAssessment.Option> withRoom(CostAssessment assessment) {
        return assessment.options().stream().filter(CostAssessment.Option::hasRoom).toList();
    }

    /**
     * Returns the engines of the preferred domain, or those of the others, with the probability by
     * which their wait is shorter.
     */
    private List<CostAssessment.Option> inOneDomain(List<CostAssessment.Option> options) {
        List<CostAssessment.Option> near =
                options.stream().filter(CostAssessment.Option::isNear).toList();
        List<CostAssessment.Option> far =
                options.stream().filter(option -> !option.isNear()).toList();
        if (near.isEmpty() || far.isEmpty()) {
            return options;
        }
        double nearMillis = meanEndMillis(near);
        double farMillis = meanEndMillis(far);
        double advantage = DOMAIN_ADVANTAGE * near.get(0).work().totalMillis();
        double excess = (nearMillis - farMillis - advantage) / Math.max(1, nearMillis);
        return mRandom.nextDouble() < excess ? far : near;
    }

    private static double meanEndMillis(List<CostAssessment.Option> options) {
        return options.stream().mapToDouble(CostAssessment.Option::endMillis).average().orElse(0);
    }

    /** Returns the work that is taken to arrive until newer loads are known. */
    private static double spreadMillis(
            CostAssessment assessment, List<CostAssessment.Option> options) {
        double workMillis =
                options.stream()
                        .mapToDouble(option -> option.slowness() * option.work().totalMillis())
                        .average()
                        .orElse(0);
        double horizonMillis =
                Math.max(
                        workMillis,
                        Math.min(assessment.reportAgeMillis(), HORIZON_REQUESTS * workMillis));
        return Math.max(MINIMUM_UTILIZATION, assessment.utilization())
                * Math.min(MAXIMUM_HORIZON_MILLIS, horizonMillis);
    }

    private Optional<Endpoint> choose(
            List<CostAssessment.Option> options,
            ToDoubleFunction<CostAssessment.Option> endMillis,
            double spreadMillis) {
        if (options.isEmpty()) {
            return Optional.empty();
        }
        double[] ends = options.stream().mapToDouble(endMillis).toArray();
        double[] capacities =
                options.stream().mapToDouble(CostAssessment.Option::capacity).toArray();
        int chosen =
                BalancedChoice.choose(
                        ends, capacities, Math.max(MINIMUM_SPREAD_MILLIS, spreadMillis), mRandom);
        return Optional.of(options.get(chosen).endpoint());
    }

    private ServiceCosts costs(String service) {
        return mServices.computeIfAbsent(service, key -> new ServiceCosts());
    }
}
