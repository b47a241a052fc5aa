package org.vanilladoor.fleet;

import java.util.Arrays;
import java.util.List;

/**
 * Expected waits and ends of one request at each endpoint that may be chosen.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param options the endpoints
 * @param utilization mean part of the endpoints' slots that is in use
 * @param reportAgeMillis mean age of the endpoints' load reports
 */
record CostAssessment(List<Option> options, double utilization, double reportAgeMillis) {
    /** Part of an engine's KV memory that is used; others' requests are an estimate. */
    private static final double USABLE_MEMORY_PART = 0.9;

    /** Part of its work that is left, on average, of a request in progress. */
    private static final double LEFT_PART = 0.5;

    CostAssessment {
        options = List.copyOf(options);
    }

    /**
     * Assesses the endpoints.
     *
     * @param domain failure domain from which distance counts
     */
    static CostAssessment of(
            ServiceCosts costs,
            RequestProfile request,
            WorkPhase phase,
            List<Endpoint> endpoints,
            String domain,
            long nowMillis) {
        costs.updateSummary(nowMillis);
        double share = costs.prefixUse().share(request.prefixKey(), nowMillis);
        long lastHolder = lastHolderRank(request, phase, endpoints, share);
        Option[] options = new Option[endpoints.size()];
        double utilization = 0;
        double age = 0;
        for (int index = 0; index < options.length; index++) {
            Endpoint endpoint = endpoints.get(index);
            boolean isUsed = costs.prefixUse().wasUsedAt(request.prefixKey(), endpoint, nowMillis);
            boolean isHolder =
                    isUsed || PrefixUse.rank(request.prefixKey(), endpoint) <= lastHolder;
            Option option =
                    option(
                            costs,
                            request,
                            phase,
                            endpoint,
                            // Few VMs have an engine that runs requests prefill this prefix.
                            isUsed || (isHolder && phase == WorkPhase.PREFILL),
                            isHolder,
                            endpoint.failureDomain().equals(domain),
                            nowMillis);
            options[index] = option;
            utilization += Math.min(1, option.calls() / slots(endpoint)) / options.length;
            age +=
                    Math.min(Integer.MAX_VALUE, costs.endpoint(endpoint).reportAgeMillis(nowMillis))
                            / (double) options.length;
        }
        return new CostAssessment(Arrays.asList(options), utilization, age);
    }

    /**
     * Assesses one endpoint.
     *
     * @param holdsPrefix whether its expected work leaves out the shared prefix
     * @param isHolder whether it is among the engines that are to hold the shared prefix
     */
    static Option option(
            ServiceCosts costs,
            RequestProfile request,
            WorkPhase phase,
            Endpoint endpoint,
            boolean holdsPrefix,
            boolean isHolder,
            boolean isNear,
            long nowMillis) {
        EndpointCost cost = costs.endpoint(endpoint);
        boolean isPrefillEngine = ServiceCosts.isPrefillEngine(endpoint);
        ServiceCosts.MeanWork mean = costs.meanWork(isPrefillEngine);
        double slowness = cost.slowness(costs.medianSlowness(), nowMillis);
        double others = cost.others(mean.others(), nowMillis);
        double calls = cost.ownCalls() + others;
        double slots = slots(endpoint);
        ExpectedWork work =
                costs.expect(
                        request, endpoint, phase, holdsPrefix ? request.sharedTokens() : 0, isNear);
        double prompts = cost.ownPromptMillis() + others * promptMillisLeft(mean, isPrefillEngine);
        double slotWork = cost.ownSlotMillis() + others * LEFT_PART * mean.slotMillis();
        double queueMillis = Math.max(0, calls + 1 - slots) / slots * mean.slotMillis();
        double waitMillis = slowness * (prompts + (isPrefillEngine ? 0 : queueMillis));
        double distanceMillis = isNear ? 0 : ServiceCosts.DISTANCE_MILLIS;
        return new Option(
                endpoint,
                work,
                slowness,
                calls,
                waitMillis,
                slowness * (prompts + slotWork / slots),
                waitMillis
                        + slowness * work.firstResultMillis()
                        + distanceMillis
                        + ServiceCosts.OVERHEAD_MILLIS,
                distanceMillis,
                hasRoom(request, phase, cost, others * mean.tokens()),
                isHolder,
                isNear);
    }

    /** Returns what is left, on average, of the prompt of another VM's request. */
    private static double promptMillisLeft(ServiceCosts.MeanWork mean, boolean isPrefillEngine) {
        if (isPrefillEngine || mean.promptMillis() == 0) {
            return LEFT_PART * mean.promptMillis();
        }
        // A request that runs has been at its prompt for this part of its time.
        double promptPart = mean.promptMillis() / (mean.promptMillis() + mean.slotMillis());
        return LEFT_PART * promptPart * mean.promptMillis();
    }

    private static boolean hasRoom(
            RequestProfile request, WorkPhase phase, EndpointCost cost, double othersTokens) {
        if (request.kvCacheTokens() <= 0) {
            return true;
        }
        long tokens = phase == WorkPhase.PREFILL ? request.promptTokens() : request.maximumTokens();
        return cost.ownTokens() + othersTokens + tokens
                <= USABLE_MEMORY_PART * request.kvCacheTokens();
    }

    private static double slots(Endpoint endpoint) {
        return ServiceCosts.isPrefillEngine(endpoint) ? 1 : Math.max(1, endpoint.slots());
    }

    private static long lastHolderRank(
            RequestProfile request, WorkPhase phase, List<Endpoint> endpoints, double share) {
        if (request.prefixKey().isEmpty()
                || phase == WorkPhase.RUN_WITH_CACHE
                || endpoints.isEmpty()) {
            return Long.MIN_VALUE;
        }
        long[] ranks =
                endpoints.stream()
                        .mapToLong(endpoint -> PrefixUse.rank(request.prefixKey(), endpoint))
                        .sorted()
                        .toArray();
        return ranks[Math.min(ranks.length, PrefixUse.holders(share, ranks.length)) - 1];
    }

    /**
     * What is expected of a request at one endpoint.
     *
     * @param endpoint the endpoint
     * @param work its work at normal speed
     * @param slowness how long work takes there, as a multiple of the normal time
     * @param calls requests there, of all VMs
     * @param waitMillis time until the work begins
     * @param drainMillis time in which the work that is outstanding now is done
     * @param firstResultMillis time to the first part of the result
     * @param distanceMillis additional time in another failure domain
     * @param hasRoom whether the endpoint has memory for the request
     * @param isHolder whether it is among the engines that are to hold the shared prefix
     * @param isNear whether it is in the preferred failure domain
     */
    record Option(
            Endpoint endpoint,
            ExpectedWork work,
            double slowness,
            double calls,
            double waitMillis,
            double drainMillis,
            double firstResultMillis,
            double distanceMillis,
            boolean hasRoom,
            boolean isHolder,
            boolean isNear) {
        /** Returns the time in which the endpoint has done this request and all before it. */
        double endMillis() {
            return drainMillis + slowness * work.totalMillis() + distanceMillis;
        }

        /** Returns the work that the endpoint does in a unit of time. */
        double capacity() {
            return slots(endpoint) / slowness;
        }
    }
}
