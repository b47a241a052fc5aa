package org.vanilladoor.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Selects the endpoints for a call.
 *
 * <p>Under the predicting policy a call is split if that is predicted to be faster although its KV
 * cache has to be transferred: one engine does the prefill, another one the decode. Confined to the
 * control thread.
 */
final class EndpointSelector {
    /** Predicted extra time for a call to an endpoint in another failure domain. */
    private static final double OTHER_DOMAIN_COST_MILLIS = 3.0;

    private static final double KV_TRANSFER_MILLIS_PER_TOKEN = 0.005;
    private static final double KV_TRANSFER_BASE_MILLIS = 5.0;

    /** Share of the first-token target within which a reclaimable engine has to end a prefill. */
    private static final double RECLAIMABLE_SHARE_OF_TARGET = 0.25;

    /**
     * Output tokens whose intervals are counted in the cost of a stream, at most; for plain
     * services, the cost of a fully loaded endpoint.
     */
    private static final double INTERVAL_WEIGHT_TOKENS = 20.0;

    /** Endpoints are suitable if their cost when idle is at most this multiple of the lowest. */
    private static final double MAXIMUM_IDLE_COST_RATIO = 1.8;

    private final String mFailureDomain;
    private final Policies.Routing mRouting;
    private final RandomGenerator mRandom;
    private long mNextIndex;

    private EndpointSelector(
            String failureDomain, Policies.Routing routing, RandomGenerator random) {
        mFailureDomain = failureDomain;
        mRouting = routing;
        mRandom = random;
    }

    static EndpointSelector create(
            String failureDomain, Policies.Routing routing, RandomGenerator random) {
        return new EndpointSelector(failureDomain, routing, random);
    }

    /** Returns the endpoints for a call, or empty if the call has to wait. */
    Optional<Selection> select(Call call, List<EndpointState> serving, long nowMillis) {
        List<EndpointState> usable =
                serving.stream()
                        .filter(state -> state.isUsable(nowMillis))
                        .filter(state -> mayRunOn(call, state))
                        .toList();
        List<EndpointState> free = usable.stream().filter(EndpointState::hasFreeStream).toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                switch (mRouting) {
                    case ROUND_ROBIN -> selectRoundRobin(free);
                    case LEAST_IN_FLIGHT -> selectLeastInFlight(free);
                    case PREDICTED ->
                            selectPredicted(
                                    call,
                                    preferReclaimable(call, usable),
                                    preferReclaimable(call, free));
                });
    }

    private static boolean mayRunOn(Call call, EndpointState state) {
        return call.workClass().reclaimable() || !state.description().reclaimable();
    }

    private Selection selectRoundRobin(List<EndpointState> free) {
        EndpointState next = free.get((int) (mNextIndex++ % free.size()));
        return new Selection(next, next, "next in round-robin order");
    }

    private static Selection selectLeastInFlight(List<EndpointState> free) {
        EndpointState least = least(free, EndpointState::requests);
        return new Selection(least, least, "fewest requests in flight");
    }

    /**
     * Selects by predicted cost between two endpoints drawn at random from the suitable ones.
     *
     * <p>Load reports lag and all entries see the same ones: if each entry selected the endpoint
     * with the lowest predicted cost, all of them would select the same endpoint.
     */
    private Selection selectPredicted(
            Call call, List<EndpointState> usable, List<EndpointState> free) {
        if (!free.get(0).description().engine()) {
            EndpointState lessLoaded = betterOfTwo(free, state -> loadCost(state));
            return new Selection(lessLoaded, lessLoaded, "less loaded of two drawn endpoints");
        }
        EndpointState single =
                betterOfTwo(
                        suitable(free, state -> idleCost(call, state)),
                        state -> state.prefillMillis(call) + streamCost(call, state));
        double singleCost = single.prefillMillis(call) + streamCost(call, single);
        EndpointState prefillEngine =
                betterOfTwo(
                        suitable(usable, state -> state.idlePrefillMillis(call)),
                        state -> state.prefillMillis(call) + distanceCost(state));
        EndpointState decodeEngine =
                betterOfTwo(
                        suitable(free, EndpointState::singleStreamIntervalMillis),
                        state -> streamCost(call, state));
        double transferCost =
                KV_TRANSFER_BASE_MILLIS + call.promptTokens() * KV_TRANSFER_MILLIS_PER_TOKEN;
        double splitCost =
                prefillEngine.prefillMillis(call) + transferCost + streamCost(call, decodeEngine);
        if (prefillEngine != decodeEngine && splitCost < singleCost) {
            return new Selection(
                    prefillEngine,
                    decodeEngine,
                    reason("prefill and decode split, predicted cost %.0f ms", splitCost));
        }
        return new Selection(
                single, single, reason("not split, predicted cost %.0f ms", singleCost));
    }

    /**
     * Keeps only reclaimable endpoints for reclaimable work, if one of them is predicted to prefill
     * the prompt within a share of the target; otherwise keeps all. They cost less.
     */
    private static List<EndpointState> preferReclaimable(Call call, List<EndpointState> states) {
        if (!call.workClass().reclaimable()) {
            return states;
        }
        double limitMillis = call.workClass().firstTokenMillis() * RECLAIMABLE_SHARE_OF_TARGET;
        List<EndpointState> reclaimable =
                states.stream()
                        .filter(state -> state.description().reclaimable())
                        .filter(state -> state.prefillMillis(call) <= limitMillis)
                        .toList();
        return reclaimable.isEmpty() ? states : reclaimable;
    }

    private EndpointState betterOfTwo(
            List<EndpointState> states, ToDoubleFunction<EndpointState> cost) {
        if (states.size() == 1) {
            return states.get(0);
        }
        int firstIndex = mRandom.nextInt(states.size());
        int secondIndex = (firstIndex + 1 + mRandom.nextInt(states.size() - 1)) % states.size();
        EndpointState first = states.get(firstIndex);
        EndpointState second = states.get(secondIndex);
        return cost.applyAsDouble(first) <= cost.applyAsDouble(second) ? first : second;
    }

    /** Returns the endpoints whose cost when idle is close enough to the lowest one. */
    private static List<EndpointState> suitable(
            List<EndpointState> states, ToDoubleFunction<EndpointState> idleCost) {
        double best = states.stream().mapToDouble(idleCost).min().orElseThrow();
        return states.stream()
                .filter(state -> idleCost.applyAsDouble(state) <= best * MAXIMUM_IDLE_COST_RATIO)
                .toList();
    }

    private double idleCost(Call call, EndpointState state) {
        double tokens = Math.min(INTERVAL_WEIGHT_TOKENS, call.outputTokens());
        return state.idlePrefillMillis(call)
                + state.singleStreamIntervalMillis() * tokens
                + distanceCost(state);
    }

    private double streamCost(Call call, EndpointState state) {
        double tokens = Math.min(INTERVAL_WEIGHT_TOKENS, call.outputTokens());
        return state.intervalMillis() * tokens + distanceCost(state);
    }

    private double loadCost(EndpointState state) {
        return (double) state.requests() / state.maximumStreams() * INTERVAL_WEIGHT_TOKENS
                + distanceCost(state);
    }

    private double distanceCost(EndpointState state) {
        boolean near = state.description().failureDomain().equals(mFailureDomain);
        return near ? 0 : OTHER_DOMAIN_COST_MILLIS;
    }

    private static EndpointState least(
            List<EndpointState> states, ToDoubleFunction<EndpointState> cost) {
        return states.stream().min(Comparator.comparingDouble(cost)).orElseThrow();
    }

    private static String reason(String format, double cost) {
        return String.format(Locale.ROOT, format, cost);
    }

    /**
     * The endpoint for the prefill and the one for the decode; the same one if the call is not
     * split.
     */
    record Selection(EndpointState prefill, EndpointState decode, String reason) {}
}
