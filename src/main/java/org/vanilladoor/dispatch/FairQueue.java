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
 * The waiting calls of one pool.
 *
 * <p>A team's calls of a class wait by earliest first-token deadline; between teams the one served
 * least against its share goes first. Classes wait apart, so that a call which finds no endpoint
 * holds up no call of another class. A team that comes back from idleness starts level with the
 * least served one, so that idleness saves nothing up. Belongs to the control thread.
 */
final class FairQueue {
    private static final Comparator<Call> BY_DEADLINE =
            Comparator.comparingLong(Call::firstTokenDeadlineMillis)
                    .thenComparingLong(Call::arrivalMillis)
                    .thenComparing(Call::identifier);
    private final Policies.Fairness mFairness;
    private final ToDoubleFunction<String> mShareOfTeam;
    private final Map<Line, PriorityQueue<Call>> mWaiting = new TreeMap<>();
    private final Map<Line, PriorityQueue<Call>> mLate = new TreeMap<>();
    private final Map<String, Double> mServed = new HashMap<>();
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
            liftToLeastServed(call.team(), waiting);
        }
        line(mWaiting, call).add(call);
        mSize++;
    }

    boolean remove(Call call) {
        boolean removed = remove(mWaiting, call) || remove(mLate, call);
        mSize -= removed ? 1 : 0;
        return removed;
    }

    /**
     * Returns the first call of each team and class, in the order in which they should be served.
     *
     * <p>Calls that can still meet their target go before those that have missed it: under overload
     * the most urgent ones are the lost ones.
     */
    List<Call> heads(long nowMillis) {
        mWaiting.values().forEach(calls -> moveLate(calls, nowMillis));
        mWaiting.values().removeIf(PriorityQueue::isEmpty);
        List<Call> heads = new ArrayList<>(sortedHeads(mWaiting));
        heads.addAll(sortedHeads(mLate));
        return heads;
    }

    /** Returns the waiting calls for which the condition holds. */
    List<Call> matching(Predicate<Call> condition) {
        return Stream.concat(mWaiting.values().stream(), mLate.values().stream())
                .flatMap(PriorityQueue::stream)
                .filter(condition)
                .toList();
    }

    /** Counts tokens against the team's share; a correction may be negative. */
    void charge(String team, double tokens) {
        mServed.merge(team, tokens / mShareOfTeam.applyAsDouble(team), Double::sum);
    }

    int size() {
        return mSize;
    }

    private void moveLate(PriorityQueue<Call> calls, long nowMillis) {
        Call first = calls.peek();
        while (first != null && first.firstTokenDeadlineMillis() < nowMillis) {
            line(mLate, calls.poll()).add(first);
            first = calls.peek();
        }
    }

    private List<Call> sortedHeads(Map<Line, PriorityQueue<Call>> lines) {
        return lines.values().stream().map(PriorityQueue::peek).sorted(order()).toList();
    }

    private static PriorityQueue<Call> line(Map<Line, PriorityQueue<Call>> lines, Call call) {
        return lines.computeIfAbsent(Line.of(call), key -> new PriorityQueue<>(BY_DEADLINE));
    }

    private static boolean remove(Map<Line, PriorityQueue<Call>> lines, Call call) {
        PriorityQueue<Call> calls = lines.get(Line.of(call));
        boolean removed = calls != null && calls.remove(call);
        if (removed && calls.isEmpty()) {
            lines.remove(Line.of(call));
        }
        return removed;
    }

    private Set<String> waitingTeams() {
        Set<String> teams = new TreeSet<>();
        Stream.of(mWaiting, mLate)
                .flatMap(lines -> lines.entrySet().stream())
                .forEach(line -> teams.add(line.getKey().team()));
        return teams;
    }

    private Comparator<Call> order() {
        Comparator<Call> byArrival =
                Comparator.comparingLong(Call::arrivalMillis).thenComparing(Call::identifier);
        return switch (mFairness) {
            case NONE -> byArrival;
            case SHARES ->
                    Comparator.comparingDouble((Call call) -> served(call.team()))
                            .thenComparing(BY_DEADLINE);
        };
    }

    private double served(String team) {
        return mServed.getOrDefault(team, 0.0);
    }

    private void liftToLeastServed(String team, Set<String> waiting) {
        waiting.stream()
                .mapToDouble(this::served)
                .min()
                .ifPresent(least -> mServed.merge(team, least, Math::max));
    }

    /** Names where calls wait one behind the other. */
    private record Line(String team, String workClass) implements Comparable<Line> {
        static Line of(Call call) {
            return new Line(call.team(), call.workClass().name());
        }

        @Override
        public int compareTo(Line other) {
            int order = team.compareTo(other.team);
            return order != 0 ? order : workClass.compareTo(other.workClass);
        }
    }
}
