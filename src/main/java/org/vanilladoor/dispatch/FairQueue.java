package org.vanilladoor.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * The wait queue of one pool.
 *
 * <p>Each team has one queue per class of work, ordered by first-token deadline. Among teams, the
 * one that has been served the fewest tokens relative to its share goes first. Classes have
 * separate queues so that a call for which there is no endpoint does not block calls of other
 * classes. When a team without waiting calls submits one, its count of served tokens is raised to
 * the lowest count among the waiting teams, so that a team can't save up service while idle. Time
 * is passed in as an argument. Confined to the control thread.
 */
final class FairQueue {
    private static final Comparator<Call> BY_DEADLINE =
            Comparator.comparingLong(Call::firstTokenDeadlineMillis)
                    .thenComparingLong(Call::arrivalMillis)
                    .thenComparing(Call::identifier);
    private final Policies.Fairness mFairness;
    private final ToDoubleFunction<String> mShareOfTeam;
    private final Map<QueueKey, PriorityQueue<Call>> mWaiting = new TreeMap<>();
    private final Map<QueueKey, PriorityQueue<Call>> mOverdue = new TreeMap<>();
    private final Map<String, Double> mServedTokensPerShare = new HashMap<>();
    private int mSize;

    private FairQueue(Policies.Fairness fairness, ToDoubleFunction<String> shareOfTeam) {
        mFairness = fairness;
        mShareOfTeam = shareOfTeam;
    }

    static FairQueue create(Policies.Fairness fairness, ToDoubleFunction<String> shareOfTeam) {
        return new FairQueue(fairness, shareOfTeam);
    }

    void add(Call call) {
        Set<String> waiting = waitingTeams();
        if (!waiting.contains(call.team())) {
            raiseToLeastServed(call.team(), waiting);
        }
        queueOf(mWaiting, call).add(call);
        mSize++;
    }

    boolean remove(Call call) {
        boolean removed = remove(mWaiting, call) || remove(mOverdue, call);
        mSize -= removed ? 1 : 0;
        return removed;
    }

    /**
     * Returns the first call of each team and class, in the order in which to serve them.
     *
     * <p>Calls whose first-token deadline has passed come after all others: under overload,
     * ordering by deadline alone would serve the calls that have already missed their target first.
     */
    List<Call> heads(long nowMillis) {
        mWaiting.values().forEach(calls -> moveOverdue(calls, nowMillis));
        mWaiting.values().removeIf(PriorityQueue::isEmpty);
        List<Call> heads = new ArrayList<>(sortedHeads(mWaiting));
        heads.addAll(sortedHeads(mOverdue));
        return heads;
    }

    /** Returns the waiting calls for which the condition holds. */
    List<Call> matching(Predicate<Call> condition) {
        return Stream.concat(mWaiting.values().stream(), mOverdue.values().stream())
                .flatMap(PriorityQueue::stream)
                .filter(condition)
                .toList();
    }

    /** Charges tokens to the team's share; negative to correct an earlier estimate. */
    void charge(String team, double tokens) {
        mServedTokensPerShare.merge(team, tokens / mShareOfTeam.applyAsDouble(team), Double::sum);
    }

    int size() {
        return mSize;
    }

    private void moveOverdue(PriorityQueue<Call> calls, long nowMillis) {
        Call first = calls.peek();
        while (first != null && first.firstTokenDeadlineMillis() < nowMillis) {
            queueOf(mOverdue, calls.poll()).add(first);
            first = calls.peek();
        }
    }

    private List<Call> sortedHeads(Map<QueueKey, PriorityQueue<Call>> queues) {
        return queues.values().stream().map(PriorityQueue::peek).sorted(servingOrder()).toList();
    }

    private static PriorityQueue<Call> queueOf(
            Map<QueueKey, PriorityQueue<Call>> queues, Call call) {
        return queues.computeIfAbsent(QueueKey.of(call), key -> new PriorityQueue<>(BY_DEADLINE));
    }

    private static boolean remove(Map<QueueKey, PriorityQueue<Call>> queues, Call call) {
        PriorityQueue<Call> calls = queues.get(QueueKey.of(call));
        boolean removed = calls != null && calls.remove(call);
        if (removed && calls.isEmpty()) {
            queues.remove(QueueKey.of(call));
        }
        return removed;
    }

    private Set<String> waitingTeams() {
        Set<String> teams = new TreeSet<>();
        Stream.of(mWaiting, mOverdue)
                .flatMap(queues -> queues.entrySet().stream())
                .forEach(queue -> teams.add(queue.getKey().team()));
        return teams;
    }

    private Comparator<Call> servingOrder() {
        Comparator<Call> byArrival =
                Comparator.comparingLong(Call::arrivalMillis).thenComparing(Call::identifier);
        return switch (mFairness) {
            case NONE -> byArrival;
            case SHARES ->
                    Comparator.comparingDouble((Call call) -> servedTokensPerShare(call.team()))
                            .thenComparing(BY_DEADLINE);
        };
    }

    private double servedTokensPerShare(String team) {
        return mServedTokensPerShare.getOrDefault(team, 0.0);
    }

    private void raiseToLeastServed(String team, Set<String> waiting) {
        waiting.stream()
                .mapToDouble(this::servedTokensPerShare)
                .min()
                .ifPresent(least -> mServedTokensPerShare.merge(team, least, Math::max));
    }

    /** Identifies the queue of a team's calls of one class. */
    private record QueueKey(String team, String workClass) implements Comparable<QueueKey> {
        static QueueKey of(Call call) {
            return new QueueKey(call.team(), call.workClass().name());
        }

        @Override
        public int compareTo(QueueKey other) {
            int order = team.compareTo(other.team);
            return order != 0 ? order : workClass.compareTo(other.workClass);
        }
    }
}
