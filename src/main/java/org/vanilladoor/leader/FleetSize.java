package org.vanilladoor.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.ServiceDefinition;
import org.vanilladoor.route.ServiceDefinition.Scaling;

/**
 * Decides how many endpoints of a service there shall be, where, and of which kind.
 *
 * <p>Reclaimable endpoints carry the work where they are cheap, spread over the failure domains,
 * since one domain's may all go at once; steady ones stay at the operator's minimum, and are given
 * up only once others stand in for them. Without cheap ones the fleet grows less. Invariant: no
 * domain is ordered below the minimum or above the maximum, both kinds together. Time and
 * measurements go in, orders come out; belongs to the control thread.
 */
public final class FleetSize {
    /** Price of a reclaimable endpoint up to which it is worth holding some in reserve. */
    private static final double CHEAP_PRICE = 0.5;

    /** Size of the fleet before any work has been seen, as a multiple of what runs. */
    private static final double FIRST_SIZE_CHEAP = 1.5;

    /** Reading engines for each prompt that is being read at the peak, so that few wait. */
    private static final double READERS_PER_READ_CHEAP = 2.5;

    private static final double READERS_PER_READ = 1.3;

    /** Part of the slots that may be in use on average. */
    private static final double SLOTS_IN_USE = 0.55;

    private static final int LEAST_RUNNERS = 2;

    /** Largest size, as a multiple of the first one. */
    private static final double MOST_SIZE = 2.5;

    /** Time beyond its start in which a new endpoint registers, in milliseconds. */
    private static final long REGISTER_MILLIS = 3_000;

    /** Time for which the number of endpoints has to stand before the first order. */
    private static final long SETTLED_MILLIS = 3_000;

    /** Time for which a peak is remembered, in milliseconds. */
    private static final long PEAK_MILLIS = 40_000;

    /** Time between orders for one service, in milliseconds. */
    private static final long PAUSE_MILLIS = 300;

    /** Time for which a failure domain without reclaimable endpoints is not asked again. */
    private static final long DRY_MILLIS = 6_000;

    private final Map<String, Long> mDryUntilMillis = new HashMap<>();
    private final Map<Kind, Given> mGiven = new HashMap<>();
    private Work mPeak = Work.NONE;
    private long mPeakMillis;
    private int mFirstSize;
    private int mSeen;
    private long mSeenSinceMillis;
    private long mOrderedMillis = Long.MIN_VALUE / 2;

    private FleetSize() {}

    /** Returns the decisions on one service, before any. */
    public static FleetSize create() {
        return new FleetSize();
    }

    /**
     * Returns the orders to give now.
     *
     * @param service the service
     * @param endpoints its endpoints
     * @param work the work that goes on there
     */
    public List<FleetOperations.ScaleOrder> decide(
            ServiceDefinition service, List<Endpoint> endpoints, Work work, long nowMillis) {
        if (service.scaling().isEmpty() || service.engine().isEmpty() || endpoints.isEmpty()) {
            return List.of();
        }
        if (nowMillis - mOrderedMillis < PAUSE_MILLIS) {
            return List.of();
        }
        Scaling scaling = service.scaling().get();
        notePeak(work, nowMillis);
        if (!isSettled(endpoints.size(), nowMillis)) {
            return List.of();
        }
        boolean cheap = scaling.reclaimablePrice() <= CHEAP_PRICE;
        int size = size(cheap, service.engine().get().slots());
        List<FleetOperations.ScaleOrder> orders =
                cheap
                        ? cheapOrders(service.name(), scaling, endpoints, size, nowMillis)
                        : steadyOrders(service.name(), scaling, endpoints, size);
        orders.removeIf(order -> isInForce(order, endpoints, scaling, nowMillis));
        return orders;
    }

    /** Returns whether an order was given and its endpoints are there or on their way. */
    private boolean isInForce(
            FleetOperations.ScaleOrder order,
            List<Endpoint> endpoints,
            Scaling scaling,
            long nowMillis) {
        Given given = mGiven.get(Kind.of(order));
        if (given == null || given.number() != order.count()) {
            return false;
        }
        int present = count(endpoints, order.reclaimable()).getOrDefault(order.failureDomain(), 0);
        boolean onTheirWay = nowMillis - given.atMillis() < scaling.startMillis() + REGISTER_MILLIS;
        return present >= order.count() || onTheirWay;
    }

    /** Notes the answer to an order. */
    public void answered(FleetOperations.ScaleOrder order, boolean accepted, long nowMillis) {
        mOrderedMillis = nowMillis;
        if (accepted) {
            mGiven.put(Kind.of(order), new Given(order.count(), nowMillis));
        } else {
            mGiven.remove(Kind.of(order));
            mDryUntilMillis.put(order.failureDomain(), nowMillis + DRY_MILLIS);
        }
    }

    private boolean isSettled(int present, long nowMillis) {
        if (mFirstSize == 0 && present != mSeen) {
            mSeen = present;
            mSeenSinceMillis = nowMillis;
        }
        if (mFirstSize == 0 && nowMillis - mSeenSinceMillis >= SETTLED_MILLIS) {
            mFirstSize = present;
        }
        return mFirstSize > 0;
    }

    private void notePeak(Work work, long nowMillis) {
        boolean higher = work.reading() > mPeak.reading() || work.running() > mPeak.running();
        if (higher) {
            mPeak = mPeak.max(work);
            mPeakMillis = nowMillis;
        } else if (nowMillis - mPeakMillis > PEAK_MILLIS) {
            mPeak = work;
            mPeakMillis = nowMillis;
        }
    }

    private int size(boolean cheap, int slots) {
        double runners = Math.max(LEAST_RUNNERS, mPeak.running() / slots / SLOTS_IN_USE);
        double readers = mPeak.reading() * (cheap ? READERS_PER_READ_CHEAP : READERS_PER_READ);
        int first = (int) Math.ceil(mFirstSize * (cheap ? FIRST_SIZE_CHEAP : 1));
        int most = (int) Math.ceil(mFirstSize * MOST_SIZE);
        return Math.max(first, Math.min(most, (int) Math.ceil(runners + readers)));
    }

    private List<FleetOperations.ScaleOrder> cheapOrders(
            String service, Scaling scaling, List<Endpoint> endpoints, int size, long nowMillis) {
        List<String> domains = domains(scaling);
        Map<String, Integer> steady = count(endpoints, false);
        Map<String, Integer> reclaimable = count(endpoints, true);
        int minimum = Math.max(1, scaling.minimum());
        List<String> wet =
                domains.stream()
                        .filter(domain -> nowMillis >= mDryUntilMillis.getOrDefault(domain, 0L))
                        .toList();
        int wanted = Math.max(0, size - minimum * domains.size());
        Map<String, Integer> shares = spread(wet, wanted, scaling.maximum() - minimum);
        List<FleetOperations.ScaleOrder> orders = new ArrayList<>();
        for (String domain : wet) {
            int room = scaling.maximum() - Math.max(minimum, steady.getOrDefault(domain, 0));
            int number = Math.min(room, shares.getOrDefault(domain, 0));
            orders.add(new FleetOperations.ScaleOrder(service, domain, number, true));
        }
        for (String domain : domains) {
            int share = shares.getOrDefault(domain, 0);
            boolean stoodIn = share > 0 && reclaimable.getOrDefault(domain, 0) >= share;
            int present = steady.getOrDefault(domain, 0);
            if (present < minimum || (stoodIn && present > minimum && wet.contains(domain))) {
                orders.add(new FleetOperations.ScaleOrder(service, domain, minimum, false));
            }
        }
        return orders;
    }

    private List<FleetOperations.ScaleOrder> steadyOrders(
            String service, Scaling scaling, List<Endpoint> endpoints, int size) {
        List<String> domains = domains(scaling);
        Map<String, Integer> steady = count(endpoints, false);
        Map<String, Integer> shares = spread(domains, size, scaling.maximum());
        List<FleetOperations.ScaleOrder> orders = new ArrayList<>();
        for (String domain : domains) {
            int present = steady.getOrDefault(domain, 0);
            if (shares.getOrDefault(domain, 0) > present) {
                orders.add(
                        new FleetOperations.ScaleOrder(service, domain, shares.get(domain), false));
            }
        }
        return orders;
    }

    /** Deals a number out evenly, the cheapest domains first. */
    private static Map<String, Integer> spread(List<String> domains, int number, int most) {
        Map<String, Integer> shares = new TreeMap<>();
        int left = number;
        boolean room = true;
        while (left > 0 && room) {
            room = false;
            for (String domain : domains) {
                if (left > 0 && shares.getOrDefault(domain, 0) < most) {
                    shares.merge(domain, 1, Integer::sum);
                    left--;
                    room = true;
                }
            }
        }
        return shares;
    }

    private static List<String> domains(Scaling scaling) {
        return scaling.prices().entrySet().stream()
                .sorted(Comparator.comparing(Map.Entry<String, Double>::getValue))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static Map<String, Integer> count(List<Endpoint> endpoints, boolean reclaimable) {
        Map<String, Integer> counts = new HashMap<>();
        endpoints.stream()
                .filter(endpoint -> !endpoint.leaving())
                .filter(endpoint -> endpoint.reclaimable() == reclaimable)
                .forEach(endpoint -> counts.merge(endpoint.failureDomain(), 1, Integer::sum));
        return counts;
    }

    /** An order that was accepted. */
    private record Given(int number, long atMillis) {}

    /** Which endpoints an order counts. */
    private record Kind(String failureDomain, boolean reclaimable) {
        static Kind of(FleetOperations.ScaleOrder order) {
            return new Kind(order.failureDomain(), order.reclaimable());
        }
    }
}
