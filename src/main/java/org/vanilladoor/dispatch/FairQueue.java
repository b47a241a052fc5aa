package org.vanilladoor.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

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
        PriorityQueue<Call> calls = mWaiting.get(Line.of(call));
        if (calls == null) {
            liftToLeastServed(call.team());
            calls = new PriorityQueue<>(BY_DEADLINE);
            mWaiting.put(Line.of(call), calls);
        }
        calls.add(call);
        mSize++;
    }

    boolean remove(Call call) {
        PriorityQueue<Call> calls = mWaiting.get(Line.of(call));
        if (calls == null || !calls.remove(call)) {
            return false;
        }
        if (calls.isEmpty()) {
            mWaiting.remove(Line.of(call));
        }
        mSize--;
        return true;
    }

    /**
     * Returns the first call of each team and class, in the order in which they should be served.
     */
    List<Call> heads() {
        List<Call> heads = new ArrayList<>();
        mWaiting.values().forEach(calls -> heads.add(calls.peek()));
        heads.sort(order());
        return heads;
    }

    /** Returns the waiting calls for which the condition holds. */
    List<Call> matching(Predicate<Call> condition) {
        return mWaiting.values().stream().flatMap(PriorityQueue::stream).filter(condition).toList();
    }

    /** Counts tokens against the team's share; a correction may be negative. */
    void charge(String team, double tokens) {
        mServed.merge(team, tokens / mShareOfTeam.applyAsDouble(team), Double::sum);
    }

    int size() {
        return mSize;
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

    private void liftToLeastServed(String team) {
        mWaiting.keySet().stream()
                .mapToDouble(line -> served(line.team()))
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
