package org.vanilladoor.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses endpoints for a call.
 *
 * <p>A prompt that would be read slowly where the answer is generated is read by another engine,
 * whose KV cache is then moved, if that is faster by more than the move costs. Belongs to the
 * control thread.
 */
final class EndpointChoice {
    private static final double OTHER_DOMAIN_MILLIS = 3.0;
    private static final double KV_MOVE_MILLIS_PER_TOKEN = 0.005;
    private static final double KV_MOVE_BASE_MILLIS = 5.0;
    private static final double CHEAP_SHARE_OF_TARGET = 0.25;
    private static final double INTERVAL_WEIGHT_TOKENS = 20.0;
    private static final double FIT_FACTOR = 1.8;
    private final String mFailureDomain;
    private final Policies.Routing mRouting;
    private final RandomGenerator mRandom;
    private long mTurn;

    private EndpointChoice(String failureDomain, Policies.Routing routing, RandomGenerator random) {
        mFailureDomain = failureDomain;
        mRouting = routing;
        mRandom = random;
    }

    static EndpointChoice create(
            String failureDomain, Policies.Routing routing, RandomGenerator random) {
        return new EndpointChoice(failureDomain, routing, random);
    }

    /** Returns the endpoints for a call, or empty if it has to wait. */
    Optional<Pair> choose(Call call, List<EndpointState> serving, long nowMillis) {
        List<EndpointState> usable =
                serving.stream()
                        .filter(state -> state.isUsable(nowMillis))
                        .filter(state -> mayRunOn(call, state))
                        .toList();
        List<EndpointState> free = usable.stream().filter(EndpointState::hasRoom).toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                switch (mRouting) {
                    case ROUND_ROBIN -> roundRobin(free);
                    case LEAST_IN_FLIGHT -> leastInFlight(free);
                    case PREDICTED -> predicted(call, cheaper(call, usable), cheaper(call, free));
                });
    }

    private static boolean mayRunOn(Call call, EndpointState state) {
        return call.workClass().reclaimable() || !state.description().reclaimable();
    }

    private Pair roundRobin(List<EndpointState> free) {
        EndpointState next = free.get((int) (mTurn++ % free.size()));
        return new Pair(next, next, "next in turn");
    }

    private static Pair leastInFlight(List<EndpointState> free) {
        EndpointState least = least(free, EndpointState::requests);
        return new Pair(least, least, "fewest requests in flight");
    }

    /**
     * Chooses by prediction between two that are drawn from those fit for the call.
     *
     * <p>Reports are late and every entry sees the same ones: if all took the one that looks best,
     * they would all take the same one.
     */
    private Pair predicted(Call call, List<EndpointState> usable, List<EndpointState> free) {
        if (!free.get(0).description().engine()) {
            EndpointState idler = betterOfTwo(free, state -> loadCost(state));
            return new Pair(idler, idler, "less loaded of two");
        }
        EndpointState single =
                betterOfTwo(
                        fit(free, state -> idleCost(call, state)),
                        state -> state.prefillMillis(call) + streamCost(call, state));
        double singleCost = single.prefillMillis(call) + streamCost(call, single);
        EndpointState reader =
                betterOfTwo(
                        fit(usable, state -> state.idlePrefillMillis(call)),
                        state -> state.prefillMillis(call) + distance(state));
        EndpointState writer =
                betterOfTwo(
                        fit(free, EndpointState::idleIntervalMillis),
                        state -> streamCost(call, state));
        double move = KV_MOVE_BASE_MILLIS + call.promptTokens() * KV_MOVE_MILLIS_PER_TOKEN;
        double splitCost = reader.prefillMillis(call) + move + streamCost(call, writer);
        if (reader != writer && splitCost < singleCost) {
            return new Pair(reader, writer, reason("split, predicted cost %.0f ms", splitCost));
        }
        return new Pair(single, single, reason("whole, predicted cost %.0f ms", singleCost));
    }

    /** Keeps work that may move to reclaimable engines while one of them is fast enough. */
    private static List<EndpointState> cheaper(Call call, List<EndpointState> states) {
        if (!call.workClass().reclaimable()) {
            return states;
        }
        double limit = call.workClass().firstTokenMillis() * CHEAP_SHARE_OF_TARGET;
        List<EndpointState> cheap =
                states.stream()
                        .filter(state -> state.description().reclaimable())
                        .filter(state -> state.prefillMillis(call) <= limit)
                        .toList();
        return cheap.isEmpty() ? states : cheap;
    }

    private EndpointState betterOfTwo(
            List<EndpointState> states, ToDoubleFunction<EndpointState> cost) {
        if (states.size() == 1) {
            return states.get(0);
        }
        int one = mRandom.nextInt(states.size());
        int other = (one + 1 + mRandom.nextInt(states.size() - 1)) % states.size();
        EndpointState first = states.get(one);
        EndpointState second = states.get(other);
        return cost.applyAsDouble(first) <= cost.applyAsDouble(second) ? first : second;
    }

    /** Returns those that would serve the call nearly as well as the best one, were all idle. */
    private static List<EndpointState> fit(
            List<EndpointState> states, ToDoubleFunction<EndpointState> idleCost) {
        double best = states.stream().mapToDouble(idleCost).min().orElseThrow();
        return states.stream()
                .filter(state -> idleCost.applyAsDouble(state) <= best * FIT_FACTOR)
                .toList();
    }

    private double idleCost(Call call, EndpointState state) {
        double tokens = Math.min(INTERVAL_WEIGHT_TOKENS, call.outputTokens());
        return state.idlePrefillMillis(call)
                + state.idleIntervalMillis() * tokens
                + distance(state);
    }

    private double streamCost(Call call, EndpointState state) {
        double tokens = Math.min(INTERVAL_WEIGHT_TOKENS, call.outputTokens());
        return state.intervalMillis() * tokens + distance(state);
    }

    private double loadCost(EndpointState state) {
        return (double) state.requests() / state.maximumStreams() * INTERVAL_WEIGHT_TOKENS
                + distance(state);
    }

    private double distance(EndpointState state) {
        boolean near = state.description().failureDomain().equals(mFailureDomain);
        return near ? 0 : OTHER_DOMAIN_MILLIS;
    }

    private static EndpointState least(
            List<EndpointState> states, ToDoubleFunction<EndpointState> cost) {
        return states.stream().min(Comparator.comparingDouble(cost)).orElseThrow();
    }

    private static String reason(String format, double cost) {
        return String.format(Locale.ROOT, format, cost);
    }

    /** The endpoint that reads a prompt and the one that answers. */
    record Pair(EndpointState prefill, EndpointState decode, String reason) {}
}
