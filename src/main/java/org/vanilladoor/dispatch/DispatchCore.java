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
 * Decides when each call runs and at which endpoint.
 *
 * <p>The core does no I/O: state and time are passed in as arguments, decisions with their reasons
 * are returned. Running entries and replays use the same core. Invariants: each submitted call gets
 * exactly one decision unless it is withdrawn first; a refused call was not assigned to any
 * endpoint; an endpoint that is leaving, drained or changing its role is not assigned any call.
 * Confined to the control thread.
 */
public final class DispatchCore {
    private static final int MAXIMUM_QUEUE_LENGTH = 10_000;
    private static final long DEADLINE_CHECK_INTERVAL_MILLIS = 50;

    /** An endpoint has spare capacity while less than one part in this many is in use. */
    private static final int SPARE_CAPACITY_DIVISOR = 5;

    private static final int MILLIS_PER_SECOND = 1_000;
    private final Policies mPolicies;
    private final EndpointSelector mSelector;
    private final RetryBudget mRetryBudget;
    private final Map<String, EndpointState> mEndpoints = new TreeMap<>();
    private final Map<String, FairQueue> mQueues = new TreeMap<>();
    private final Map<String, DemandMeter> mDemandMeters = new HashMap<>();
    private final Map<String, Decision.Assigned> mAssignments = new HashMap<>();
    private final List<Decision> mDecisions = new ArrayList<>();
    private boolean mHasNewReports;
    private Targets mTargets = Targets.empty();
    private long mNextDeadlineCheckMillis = Long.MIN_VALUE;

    private DispatchCore(String failureDomain, Policies policies, RandomGenerator random) {
        mPolicies = policies;
        mSelector = EndpointSelector.create(failureDomain, policies.routing(), random);
        mRetryBudget = RetryBudget.create(policies.retries());
    }

    /**
     * Returns a core that knows no endpoints.
     *
     * @param failureDomain failure domain of this process
     * @param policies policies to follow
     * @param random draws the endpoints that are compared; seeded differently in each process
     */
    public static DispatchCore create(
            String failureDomain, Policies policies, RandomGenerator random) {
        return new DispatchCore(failureDomain, policies, random);
    }

    /** Replaces the operators' targets. */
    public void setTargets(Targets targets) {
        mTargets = targets;
    }

    /**
     * Replaces the list of endpoints. An endpoint that is no longer listed is not assigned any call
     * and is removed when its last call has ended.
     */
    public void setEndpoints(Collection<EndpointDescription> endpoints) {
        Map<String, EndpointDescription> listed = new HashMap<>();
        endpoints.forEach(endpoint -> listed.put(endpoint.name(), endpoint));
        listed.forEach(
                (name, description) ->
                        mEndpoints
                                .computeIfAbsent(name, key -> EndpointState.of(description))
                                .updateDescription(description));
        mEndpoints.values().removeIf(state -> isRemovable(state, listed.keySet()));
        mEndpoints.values().stream()
                .filter(state -> !listed.containsKey(state.description().name()))
                .forEach(EndpointState::markLeaving);
    }

    /**
     * Records an endpoint's load report.
     *
     * @param ageMillis time since the endpoint created the report
     */
    public void recordLoad(String endpoint, LoadReport report, long ageMillis) {
        find(endpoint).ifPresent(state -> state.recordReport(report, ageMillis));
        mHasNewReports = true;
    }

    /** Stops new calls to an endpoint, or allows them again. */
    public void setDrained(String endpoint, boolean drained) {
        find(endpoint).ifPresent(state -> state.setDrained(drained));
    }

    /** Marks an endpoint as leaving; it is not assigned any further call. */
    public void markLeaving(String endpoint) {
        find(endpoint).ifPresent(EndpointState::markLeaving);
    }

    /** Submits a call; {@link #decide} returns its decision. */
    public void submit(Call call) {
        estimateOthers();
        FairQueue queue = queue(call.pool());
        boolean withinBudget = mRetryBudget.admit(call.team(), call.isRetry());
        if (!withinBudget && !hasSpareCapacity(call.pool())) {
            refuse(
                    call,
                    Decision.RefusalKind.RETRY_BUDGET,
                    1,
                    "The team's retry budget is exhausted.");
        } else if (queue.size() >= MAXIMUM_QUEUE_LENGTH) {
            refuse(call, Decision.RefusalKind.QUEUE_FULL, 1, "The wait queue of the pool is full.");
        } else {
            demandMeter(call.pool())
                    .add(call.promptTokens(), call.outputTokens(), call.arrivalMillis());
            queue.add(call);
        }
    }

    /** Removes a call from the wait queue and returns whether it was still waiting. */
    public boolean withdraw(Call call) {
        return queue(call.pool()).remove(call);
    }

    /**
     * Makes all decisions that are possible now. Returns them and the refusals made on submission,
     * oldest first.
     */
    public List<Decision> decide(long nowMillis) {
        estimateOthers();
        boolean deadlineCheckDue = nowMillis >= mNextDeadlineCheckMillis;
        mNextDeadlineCheckMillis =
                deadlineCheckDue
                        ? nowMillis + DEADLINE_CHECK_INTERVAL_MILLIS
                        : mNextDeadlineCheckMillis;
        for (Map.Entry<String, FairQueue> entry : mQueues.entrySet()) {
            if (deadlineCheckDue) {
                refuseUnservable(entry.getKey(), entry.getValue(), nowMillis);
            }
            assign(entry.getKey(), entry.getValue(), nowMillis);
        }
        List<Decision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }

    /** Records that the prefill of a call has ended. */
    public void recordFirstToken(String identifier, long nowMillis) {
        Decision.Assigned assigned = mAssignments.get(identifier);
        if (assigned != null) {
            find(assigned.prefillEndpoint())
                    .ifPresent(state -> state.recordPrefillEnd(assigned.call(), nowMillis));
        }
    }

    /**
     * Records that a call has ended at its endpoint; a call that is not assigned is ignored.
     *
     * @param identifier identifier of the call
     * @param outcome how it ended
     * @param outputTokens number of tokens that were generated
     */
    public void recordEnd(String identifier, Outcome outcome, int outputTokens, long nowMillis) {
        Decision.Assigned assigned = mAssignments.remove(identifier);
        if (assigned == null) {
            return;
        }
        Call call = assigned.call();
        find(assigned.prefillEndpoint()).ifPresent(state -> state.recordStreamEnd(call));
        find(assigned.endpoint()).ifPresent(state -> state.recordStreamEnd(call));
        find(assigned.endpoint()).ifPresent(state -> outcome.applyTo(state, nowMillis));
        queue(call.pool()).charge(call.team(), (double) outputTokens - call.outputTokens());
    }

    /** Returns the number of this process's calls in progress at an endpoint. */
    public int ownRequests(String endpoint) {
        return find(endpoint).map(EndpointState::ownRequests).orElse(0);
    }

    /** Returns a snapshot of the state of every known endpoint. */
    public List<EndpointView> endpoints() {
        return mEndpoints.values().stream().map(EndpointView::of).toList();
    }

    /** Returns a snapshot of the state of an endpoint, or empty if it is unknown. */
    public Optional<EndpointView> endpoint(String name) {
        return find(name).map(EndpointView::of);
    }

    /** Returns the number of calls waiting for a pool. */
    public int queueLength(String pool) {
        return queue(pool).size();
    }

    /** Returns the meter of the work arriving for a pool. */
    public DemandMeter demandMeter(String pool) {
        return mDemandMeters.computeIfAbsent(pool, key -> DemandMeter.create());
    }

    /**
     * Returns whether retries beyond the budget may be admitted: while no call is waiting and all
     * endpoints of the pool are mostly idle, they do not displace other calls.
     */
    private boolean hasSpareCapacity(String pool) {
        return queue(pool).size() == 0
                && serving(pool).stream()
                        .allMatch(
                                state ->
                                        SPARE_CAPACITY_DIVISOR * state.requests()
                                                < state.maximumStreams());
    }

    private void estimateOthers() {
        if (!mHasNewReports) {
            return;
        }
        mHasNewReports = false;
        Map<List<Object>, List<EndpointState>> statesByPoolAndRole =
                mEndpoints.values().stream()
                        .filter(state -> !state.isLeaving())
                        .collect(
                                Collectors.groupingBy(
                                        state ->
                                                List.of(state.description().pool(), state.role())));
        for (List<EndpointState> states : statesByPoolAndRole.values()) {
            double requests = mean(states, EndpointState::reportedRequests);
            double tokens = mean(states, EndpointState::reportedPromptTokens);
            states.forEach(state -> state.estimateOthers(requests, tokens));
        }
    }

    private static double mean(List<EndpointState> states, ToDoubleFunction<EndpointState> value) {
        return states.stream().mapToDouble(value).average().orElse(0);
    }

    private boolean isRemovable(EndpointState state, Set<String> listed) {
        return !listed.contains(state.description().name()) && state.ownRequests() == 0;
    }

    private void refuseUnservable(String pool, FairQueue queue, long nowMillis) {
        List<EndpointState> serving = serving(pool);
        for (Call call : queue.matching(call -> true)) {
            if (serving.isEmpty() && nowMillis >= call.firstTokenDeadlineMillis()) {
                queue.remove(call);
                refuse(
                        call,
                        Decision.RefusalKind.NO_ENDPOINT,
                        1,
                        "No endpoint of pool " + pool + " is in service.");
            } else if (isDeadlineUnreachable(call, serving, nowMillis)) {
                queue.remove(call);
                int seconds = 1 + call.workClass().firstTokenMillis() / MILLIS_PER_SECOND;
                refuse(
                        call,
                        Decision.RefusalKind.DEADLINE_NOT_REACHABLE,
                        seconds,
                        "The deadline can no longer be met.");
            }
        }
    }

    private boolean isDeadlineUnreachable(Call call, List<EndpointState> serving, long nowMillis) {
        double shortestPrefillMillis =
                serving.stream()
                        .mapToDouble(state -> state.shortestPrefillMillis(call))
                        .min()
                        .orElse(0);
        return nowMillis + shortestPrefillMillis > call.deadlineMillis();
    }

    private void assign(String pool, FairQueue queue, long nowMillis) {
        boolean assignedAny = true;
        while (assignedAny && queue.size() > 0) {
            assignedAny = false;
            for (Call call : queue.heads(nowMillis)) {
                Optional<EndpointSelector.Selection> selection =
                        mSelector.select(call, serving(pool), nowMillis);
                if (selection.isPresent()) {
                    assignTo(call, queue, selection.get(), nowMillis);
                    assignedAny = true;
                    break;
                }
            }
        }
    }

    private void assignTo(
            Call call, FairQueue queue, EndpointSelector.Selection selection, long nowMillis) {
        queue.remove(call);
        queue.charge(call.team(), call.chargedTokens());
        selection.prefill().recordPrefillStart(call, nowMillis);
        selection.decode().recordStreamStart(call, nowMillis);
        Decision.Assigned assigned =
                new Decision.Assigned(
                        call,
                        selection.prefill().description().name(),
                        selection.decode().description().name(),
                        selection.reason());
        mAssignments.put(call.identifier(), assigned);
        mDecisions.add(assigned);
    }

    private void refuse(
            Call call, Decision.RefusalKind kind, int retryAfterSeconds, String reason) {
        mDecisions.add(new Decision.Refused(call, kind, retryAfterSeconds, reason));
    }

    private List<EndpointState> serving(String pool) {
        return mEndpoints.values().stream()
                .filter(state -> state.description().pool().equals(pool))
                .filter(state -> !state.isLeaving())
                .toList();
    }

    private FairQueue queue(String pool) {
        return mQueues.computeIfAbsent(
                pool, key -> FairQueue.create(mPolicies.fairness(), this::share));
    }

    private double share(String team) {
        return mTargets.team(team).map(Team::share).orElse(1.0);
    }

    private Optional<EndpointState> find(String endpoint) {
        return Optional.ofNullable(mEndpoints.get(endpoint));
    }
}
