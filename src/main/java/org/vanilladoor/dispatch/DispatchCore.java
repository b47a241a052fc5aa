package org.vanilladoor.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.provider.EndpointDescription;

/**
 * Decides when a call runs and where.
 *
 * <p>State and time go in, decisions with their reasons come out; the same core serves running
 * entries and replays. Invariants: a call gets exactly one decision per submission, a refused call
 * was assigned to nobody, and an endpoint that is leaving, drained or changing gets no call.
 * Belongs to the control thread.
 */
public final class DispatchCore {
    private static final int MAXIMUM_QUEUE = 10_000;
    private static final long LATE_CHECK_MILLIS = 50;
    private static final int SPARE_PARTS = 5;
    private static final int MILLIS_PER_SECOND = 1_000;
    private final Policies mPolicies;
    private final EndpointChoice mChoice;
    private final RetryBudget mRetryBudget;
    private final Map<String, EndpointState> mEndpoints = new TreeMap<>();
    private final Map<String, FairQueue> mQueues = new TreeMap<>();
    private final Map<String, DemandMeter> mDemand = new HashMap<>();
    private final Map<String, Decision.Assigned> mAssigned = new HashMap<>();
    private final List<Decision> mDecided = new ArrayList<>();
    private boolean mReported;
    private Targets mTargets = Targets.empty();
    private long mNextLateCheckMillis = Long.MIN_VALUE;

    private DispatchCore(String failureDomain, Policies policies, RandomGenerator random) {
        mPolicies = policies;
        mChoice = EndpointChoice.create(failureDomain, policies.routing(), random);
        mRetryBudget = RetryBudget.create(policies.retries());
    }

    /**
     * Returns a core that knows no endpoints.
     *
     * @param failureDomain failure domain of this process
     * @param policies policies to follow
     * @param random draws the endpoints that are compared; each process has another one
     */
    public static DispatchCore create(
            String failureDomain, Policies policies, RandomGenerator random) {
        return new DispatchCore(failureDomain, policies, random);
    }

    /** Takes operators' targets in force from now on. */
    public void setTargets(Targets targets) {
        mTargets = targets;
    }

    /** Takes in the platform's list; endpoints that left it get no new work. */
    public void setEndpoints(Collection<EndpointDescription> endpoints) {
        Map<String, EndpointDescription> listed = new HashMap<>();
        endpoints.forEach(endpoint -> listed.put(endpoint.name(), endpoint));
        listed.forEach(
                (name, description) ->
                        mEndpoints
                                .computeIfAbsent(name, key -> EndpointState.of(description))
                                .describe(description));
        mEndpoints.values().removeIf(state -> isGone(state, listed.keySet()));
        mEndpoints.values().stream()
                .filter(state -> !listed.containsKey(state.description().name()))
                .forEach(EndpointState::leave);
    }

    /**
     * Takes in an endpoint's report of its load.
     *
     * @param ageMillis time since the endpoint took it
     */
    public void recordLoad(String endpoint, LoadReport report, long ageMillis) {
        known(endpoint).ifPresent(state -> state.report(report, ageMillis));
        mReported = true;
    }

    /** Stops or allows new work at an endpoint. */
    public void setDrained(String endpoint, boolean drained) {
        known(endpoint).ifPresent(state -> state.drain(drained));
    }

    /** Marks an endpoint as about to go. */
    public void markLeaving(String endpoint) {
        known(endpoint).ifPresent(EndpointState::leave);
    }

    /** Takes a call in; its decision comes from {@link #decide}. */
    public void submit(Call call) {
        estimateOthers();
        FairQueue queue = queue(call.pool());
        boolean within = mRetryBudget.admit(call.team(), call.isRetry());
        if (!within && !hasSpareRoom(call.pool())) {
            refuse(
                    call,
                    Decision.RefusalKind.RETRY_BUDGET,
                    1,
                    "The team's retry budget is used up.");
        } else if (queue.size() >= MAXIMUM_QUEUE) {
            refuse(call, Decision.RefusalKind.QUEUE_FULL, 1, "The queue is full.");
        } else {
            demandMeter(call.pool())
                    .add(call.promptTokens(), call.outputTokens(), call.arrivalMillis());
            queue.add(call);
        }
    }

    /** Withdraws a call that still waits; returns whether it did. */
    public boolean withdraw(Call call) {
        return queue(call.pool()).remove(call);
    }

    /** Decides what can be decided now and returns it, oldest decision first. */
    public List<Decision> decide(long nowMillis) {
        estimateOthers();
        boolean lateCheck = nowMillis >= mNextLateCheckMillis;
        mNextLateCheckMillis = lateCheck ? nowMillis + LATE_CHECK_MILLIS : mNextLateCheckMillis;
        for (Map.Entry<String, FairQueue> entry : mQueues.entrySet()) {
            if (lateCheck) {
                refuseLate(entry.getKey(), entry.getValue(), nowMillis);
            }
            assign(entry.getKey(), entry.getValue(), nowMillis);
        }
        List<Decision> decided = List.copyOf(mDecided);
        mDecided.clear();
        return decided;
    }

    /** Notes that a call's prompt has been read. */
    public void recordFirstToken(String identifier, long nowMillis) {
        Decision.Assigned assigned = mAssigned.get(identifier);
        if (assigned != null) {
            known(assigned.prefillEndpoint())
                    .ifPresent(state -> state.endPrefill(assigned.call(), nowMillis));
        }
    }

    /**
     * Notes that a call has ended at its endpoint.
     *
     * @param identifier the call
     * @param outcome how it ended
     * @param outputTokens tokens that were generated
     */
    public void recordEnd(String identifier, Outcome outcome, int outputTokens, long nowMillis) {
        Decision.Assigned assigned = mAssigned.remove(identifier);
        if (assigned == null) {
            return;
        }
        Call call = assigned.call();
        known(assigned.prefillEndpoint()).ifPresent(state -> state.endStream(call));
        known(assigned.endpoint()).ifPresent(state -> state.endStream(call));
        known(assigned.endpoint()).ifPresent(state -> outcome.apply(state, nowMillis));
        queue(call.pool()).charge(call.team(), (double) outputTokens - call.outputTokens());
    }

    /** Returns how many calls of this process are at an endpoint. */
    public int ownRequests(String endpoint) {
        return known(endpoint).map(EndpointState::ownRequests).orElse(0);
    }

    /** Returns a view of every known endpoint. */
    public List<EndpointView> endpoints() {
        return mEndpoints.values().stream().map(EndpointView::of).toList();
    }

    /** Returns a view of an endpoint. */
    public Optional<EndpointView> endpoint(String name) {
        return known(name).map(EndpointView::of);
    }

    /** Returns how many calls wait for a pool. */
    public int queueLength(String pool) {
        return queue(pool).size();
    }

    /** Returns the meter of the work that comes in for a pool. */
    public DemandMeter demandMeter(String pool) {
        return mDemand.computeIfAbsent(pool, key -> DemandMeter.create());
    }

    /** Repeats crowd nobody out while nobody waits and the endpoints are mostly idle. */
    private boolean hasSpareRoom(String pool) {
        return queue(pool).size() == 0
                && serving(pool).stream()
                        .allMatch(state -> SPARE_PARTS * state.requests() < state.maximumStreams());
    }

    private void estimateOthers() {
        if (!mReported) {
            return;
        }
        mReported = false;
        Map<List<Object>, List<EndpointState>> alike =
                mEndpoints.values().stream()
                        .filter(state -> !state.isLeaving())
                        .collect(
                                Collectors.groupingBy(
                                        state ->
                                                List.of(state.description().pool(), state.role())));
        for (List<EndpointState> states : alike.values()) {
            double requests = mean(states, EndpointState::reportedRequests);
            double tokens = mean(states, EndpointState::reportedPromptTokens);
            states.forEach(state -> state.estimateOthers(requests, tokens));
        }
    }

    private static double mean(List<EndpointState> states, ToDoubleFunction<EndpointState> value) {
        return states.stream().mapToDouble(value).average().orElse(0);
    }

    private boolean isGone(EndpointState state, Set<String> listed) {
        return !listed.contains(state.description().name()) && state.ownRequests() == 0;
    }

    private void refuseLate(String pool, FairQueue queue, long nowMillis) {
        List<EndpointState> serving = serving(pool);
        for (Call call : queue.matching(call -> true)) {
            if (serving.isEmpty() && nowMillis >= call.firstTokenDeadlineMillis()) {
                queue.remove(call);
                refuse(
                        call,
                        Decision.RefusalKind.NO_ENDPOINT,
                        1,
                        "No endpoint serves " + pool + ".");
            } else if (isTooLate(call, serving, nowMillis)) {
                queue.remove(call);
                int seconds = 1 + call.workClass().firstTokenMillis() / MILLIS_PER_SECOND;
                refuse(
                        call,
                        Decision.RefusalKind.TOO_LATE,
                        seconds,
                        "The deadline can't be met any more.");
            }
        }
    }

    private boolean isTooLate(Call call, List<EndpointState> serving, long nowMillis) {
        double fastest =
                serving.stream()
                        .mapToDouble(state -> state.shortestReadingMillis(call))
                        .min()
                        .orElse(0);
        return nowMillis + fastest > call.deadlineMillis();
    }

    private void assign(String pool, FairQueue queue, long nowMillis) {
        boolean progress = true;
        while (progress && queue.size() > 0) {
            progress = false;
            for (Call call : queue.heads(nowMillis)) {
                Optional<EndpointChoice.Pair> pair = mChoice.choose(call, serving(pool), nowMillis);
                if (pair.isPresent()) {
                    assignTo(call, queue, pair.get(), nowMillis);
                    progress = true;
                    break;
                }
            }
        }
    }

    private void assignTo(Call call, FairQueue queue, EndpointChoice.Pair pair, long nowMillis) {
        queue.remove(call);
        queue.charge(call.team(), call.tokens());
        pair.prefill().startPrefill(call, nowMillis);
        pair.decode().startStream(call, nowMillis);
        Decision.Assigned assigned =
                new Decision.Assigned(
                        call,
                        pair.prefill().description().name(),
                        pair.decode().description().name(),
                        pair.reason());
        mAssigned.put(call.identifier(), assigned);
        mDecided.add(assigned);
    }

    private void refuse(
            Call call, Decision.RefusalKind kind, int retryAfterSeconds, String reason) {
        mDecided.add(new Decision.Refused(call, kind, retryAfterSeconds, reason));
    }

    private List<EndpointState> serving(String pool) {
        return mEndpoints.values().stream()
                .filter(state -> state.description().pool().equals(pool))
                .filter(state -> !state.isLeaving())
                .toList();
    }

    private FairQueue queue(String pool) {
        return mQueues.computeIfAbsent(
                pool, key -> FairQueue.create(mPolicies.fairness(), this::shareOf));
    }

    private double shareOf(String team) {
        return mTargets.team(team).map(Team::share).orElse(1.0);
    }

    private Optional<EndpointState> known(String endpoint) {
        return Optional.ofNullable(mEndpoints.get(endpoint));
    }
}
