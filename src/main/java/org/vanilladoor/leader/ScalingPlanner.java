package org.vanilladoor.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.ServiceDefinition;
import org.vanilladoor.route.ServiceDefinition.Scaling;

/**
 * Decides how many endpoints a service needs in each failure domain, and how many of them are
 * reclaimable.
 *
 * <p>If reclaimable endpoints are cheap, they carry the load. They are spread over the failure
 * domains, because all those of one domain may be reclaimed at once. The non-reclaimable endpoints
 * then stay at the operator's minimum; surplus ones leave once reclaimable endpoints fill the room
 * beside them, or make room for those in a full domain. If reclaimable endpoints are not cheap, the
 * fleet grows less. Spare ones are not kept beyond what the work needs with room for bursts and the
 * loss of a domain's reclaimable endpoints, while that is known and callers lack nothing ({@link
 * FleetDemand}); the size then stays at least the initial one. Invariant: the orders for a failure
 * domain never ask for less than the minimum or more than the maximum of endpoints of both kinds
 * together. Time and measurements are passed in as arguments, and the orders are returned. Confined
 * to the control thread.
 */
public final class ScalingPlanner {
    /** Highest relative price of reclaimable endpoints at which spare ones are worth their cost. */
    private static final double MAXIMUM_CHEAP_PRICE = 0.5;

    /**
     * Smallest fleet size, also before any load, as a multiple of the initial size, if reclaimable
     * endpoints are cheap.
     */
    private static final double MINIMUM_SIZE_FACTOR_CHEAP = 2.0;

    /**
     * Prefill engines per prompt in prefill at the peak, if cheap; enough that few prompts wait.
     */
    private static final double PREFILL_ENGINES_PER_PROMPT_CHEAP = 2.5;

    /**
     * Prefill engines per prompt in prefill at the peak, if reclaimable endpoints are not cheap.
     */
    private static final double PREFILL_ENGINES_PER_PROMPT = 1.3;

    /** Average share of the decode engines' slots that is to be in use. */
    private static final double TARGET_SLOT_SHARE = 0.55;

    /** Smallest number of decode engines. */
    private static final int MINIMUM_DECODE_ENGINES = 2;

    /** Largest fleet size as a multiple of the initial size. */
    private static final double MAXIMUM_SIZE_FACTOR = 3.0;

    /** Smallest part of the size by which it falls; the peaks of two periods differ by chance. */
    private static final double SMALLEST_FALL = 0.125;

    /** Longest time from the end of an endpoint's start to its registration, in milliseconds. */
    private static final long REGISTRATION_MILLIS = 3_000;

    /** Time for which the number of endpoints has to be unchanged before the first order. */
    private static final long STABLE_COUNT_MILLIS = 3_000;

    /** Time after which a peak that has not been exceeded is dropped, in milliseconds. */
    private static final long PEAK_RETENTION_MILLIS = 40_000;

    /** Shortest time between orders for one service, in milliseconds. */
    private static final long ORDER_INTERVAL_MILLIS = 300;

    /** Time after a rejected order in which the domain gets no order for reclaimable endpoints. */
    private static final long UNAVAILABLE_MILLIS = 6_000;

    private final Map<String, Long> mUnavailableUntilMillis = new HashMap<>();
    private final Map<EndpointKind, AcceptedOrder> mAcceptedOrders = new HashMap<>();
    private final FleetDemand mDemand = FleetDemand.create();
    private int mSize;
    private ServiceLoad mPeak = ServiceLoad.NONE;
    private long mPeakMillis;
    private int mInitialSize;
    private int mReportedInitialSize;
    private int mObservedCount;
    private long mCountObservedSinceMillis;
    private long mLastOrderMillis = Long.MIN_VALUE / 2;

    private ScalingPlanner() {}

    /** Creates a planner for one service. */
    public static ScalingPlanner create() {
        return new ScalingPlanner();
    }

    /**
     * Returns the orders to send now.
     *
     * @param service service to scale
     * @param endpoints its endpoints
     * @param limited number of them that limit their requests and so don't count for the size
     * @param load current load of the endpoints
     */
    public List<FleetOperations.ScaleOrder> decide(
            ServiceDefinition service,
            List<Endpoint> endpoints,
            int limited,
            ServiceLoad load,
            long nowMillis) {
        if (service.scaling().isEmpty() || service.engine().isEmpty() || endpoints.isEmpty()) {
            return List.of();
        }
        mDemand.observe(service, endpoints, load, nowMillis);
        if (nowMillis - mLastOrderMillis < ORDER_INTERVAL_MILLIS) {
            return List.of();
        }
        Scaling scaling = service.scaling().get();
        updatePeak(load, nowMillis);
        if (!determineInitialSize(endpoints, nowMillis)) {
            return List.of();
        }
        boolean isCheap = scaling.reclaimablePrice() <= MAXIMUM_CHEAP_PRICE;
        int size = targetSize(isCheap, limited, service.engine().get().slots());
        if (isCheap) {
            size = sizeByWork(size, limited, scaling.prices().size());
        }
        mSize = size;
        List<FleetOperations.ScaleOrder> orders =
                isCheap
                        ? ordersWithReclaimable(service.name(), scaling, endpoints, size, nowMillis)
                        : ordersWithoutReclaimable(service.name(), scaling, endpoints, size);
        orders.removeIf(order -> isInForce(order, endpoints, scaling, nowMillis));
        return orders;
    }

    /** Returns whether an equal order was accepted and its endpoints are running or starting. */
    private boolean isInForce(
            FleetOperations.ScaleOrder order,
            List<Endpoint> endpoints,
            Scaling scaling,
            long nowMillis) {
        AcceptedOrder accepted = mAcceptedOrders.get(EndpointKind.of(order));
        int present = count(endpoints, order.reclaimable()).getOrDefault(order.failureDomain(), 0);
        if (accepted == null) {
            return present == order.count();
        }
        if (accepted.count() != order.count()) {
            return false;
        }
        boolean areStarting =
                nowMillis - accepted.atMillis() < scaling.startMillis() + REGISTRATION_MILLIS;
        return present >= order.count() || areStarting;
    }

    /** Records the platform's response to an order. */
    public void recordResponse(FleetOperations.ScaleOrder order, boolean accepted, long nowMillis) {
        mLastOrderMillis = nowMillis;
        if (accepted) {
            mAcceptedOrders.put(
                    EndpointKind.of(order), new AcceptedOrder(order.count(), nowMillis));
        } else {
            mAcceptedOrders.remove(EndpointKind.of(order));
            mUnavailableUntilMillis.put(order.failureDomain(), nowMillis + UNAVAILABLE_MILLIS);
        }
    }

    /** Sets the initial size once the number of endpoints is stable; returns whether it is set. */
    private boolean determineInitialSize(List<Endpoint> endpoints, long nowMillis) {
        int present = endpoints.size();
        if (mInitialSize == 0 && present != mObservedCount) {
            mObservedCount = present;
            mCountObservedSinceMillis = nowMillis;
        }
        if (mInitialSize == 0 && nowMillis - mCountObservedSinceMillis >= STABLE_COUNT_MILLIS) {
            // Reclaimable endpoints show that an earlier lease holder has already sized the fleet.
            boolean isSized = endpoints.stream().anyMatch(Endpoint::reclaimable);
            double factor = isSized ? MINIMUM_SIZE_FACTOR_CHEAP : 1;
            mInitialSize =
                    mReportedInitialSize > 0
                            ? mReportedInitialSize
                            : (int) Math.max(1, Math.round(present / factor));
        }
        return mInitialSize > 0;
    }

    private void updatePeak(ServiceLoad load, long nowMillis) {
        boolean exceedsPeak = load.reading() > mPeak.reading() || load.running() > mPeak.running();
        if (exceedsPeak) {
            mPeak = mPeak.max(load);
            mPeakMillis = nowMillis;
        } else if (nowMillis - mPeakMillis > PEAK_RETENTION_MILLIS) {
            mPeak = load;
            mPeakMillis = nowMillis;
        }
    }

    private int targetSize(boolean isCheap, int limited, int slots) {
        double decodeEngines =
                Math.max(MINIMUM_DECODE_ENGINES, mPeak.running() / slots / TARGET_SLOT_SHARE);
        double prefillEngines =
                mPeak.reading()
                        * (isCheap ? PREFILL_ENGINES_PER_PROMPT_CHEAP : PREFILL_ENGINES_PER_PROMPT);
        int minimumSize = (int) Math.ceil(mInitialSize * (isCheap ? MINIMUM_SIZE_FACTOR_CHEAP : 1));
        int maximumSize = (int) Math.ceil(mInitialSize * MAXIMUM_SIZE_FACTOR);
        int neededSize = (int) Math.ceil(decodeEngines + prefillEngines);
        return Math.min(maximumSize, Math.max(minimumSize, neededSize) + limited);
    }

    /**
     * Returns the size that the work needs, if it is known and callers lack nothing: at least the
     * initial size, which the operators chose, and at most the size without that knowledge. The
     * size falls only by a part that is worth an order.
     */
    private int sizeByWork(int sizeWithoutWork, int limited, int failureDomains) {
        OptionalInt sizeOfWork = mDemand.size(failureDomains);
        if (sizeOfWork.isEmpty()) {
            return sizeWithoutWork;
        }
        int needed =
                Math.min(sizeWithoutWork, Math.max(mInitialSize, sizeOfWork.getAsInt()) + limited);
        boolean isNearlyTheSame = needed < mSize && needed > mSize * (1 - SMALLEST_FALL);
        return isNearlyTheSame ? Math.min(mSize, sizeWithoutWork) : needed;
    }

    /**
     * Sets the initial size that an earlier lease holder reported, or 0; not used once one is
     * determined.
     */
    public void setReportedInitialSize(int size) {
        mReportedInitialSize = size;
    }

    /** Returns the initial size; 0 until it is determined. */
    public int initialSize() {
        return mInitialSize;
    }

    /** Returns the size that the last decision was based on; 0 before the first. */
    public int size() {
        return mSize;
    }

    /** Returns the work that the last decision was based on. */
    FleetDemand demand() {
        return mDemand;
    }

    private List<FleetOperations.ScaleOrder> ordersWithReclaimable(
            String service, Scaling scaling, List<Endpoint> endpoints, int size, long nowMillis) {
        List<String> domains = domains(scaling);
        Map<String, Integer> nonReclaimable = count(endpoints, false);
        Map<String, Integer> reclaimable = count(endpoints, true);
        List<String> available =
                domains.stream().filter(each -> isAvailable(each, nowMillis)).toList();
        int kept = Math.max(1, scaling.minimum());
        int reclaimableTotal = Math.max(0, size - kept * domains.size());
        Map<String, Integer> wanted =
                distributeEvenly(available, reclaimableTotal, scaling.maximum() - kept);
        List<FleetOperations.ScaleOrder> orders = new ArrayList<>();
        for (String domain : domains) {
            DomainState state =
                    new DomainState(
                            nonReclaimable.getOrDefault(domain, 0),
                            reclaimable.getOrDefault(domain, 0),
                            kept,
                            isAvailable(domain, nowMillis));
            int room = Math.max(0, scaling.maximum() - Math.max(state.kept(), state.fixed()));
            int wantedHere = Math.min(room, wanted.getOrDefault(domain, 0));
            boolean isFull = room == 0 && wanted.getOrDefault(domain, 0) > 0;
            int remaining = remainingNonReclaimable(state, wantedHere, isFull);
            if (remaining != state.fixed()) {
                orders.add(new FleetOperations.ScaleOrder(service, domain, remaining, false));
            }
            boolean isOrderable = state.available() && remaining >= state.fixed();
            if (isOrderable && wantedHere + state.reclaimable() > 0) {
                orders.add(new FleetOperations.ScaleOrder(service, domain, wantedHere, true));
            }
        }
        return orders;
    }

    /**
     * Returns the number of non-reclaimable endpoints that a failure domain is to have. Under load,
     * no more of them leave at a time than reclaimable ones run, but one leaves a full domain.
     *
     * @param ordered number of reclaimable endpoints for which there is room beside them
     * @param isFull whether there is no room for the reclaimable endpoints that are wanted
     */
    private int remainingNonReclaimable(DomainState state, int ordered, boolean isFull) {
        boolean isReplaced = isFull || (state.reclaimable() > 0 && state.reclaimable() >= ordered);
        if (state.fixed() <= state.kept() || !isReplaced || !state.available()) {
            return Math.max(state.kept(), state.fixed());
        }
        boolean isIdle = mPeak.reading() == 0 && mPeak.running() == 0;
        return isIdle
                ? state.kept()
                : Math.max(state.kept(), state.fixed() - Math.max(1, state.reclaimable()));
    }

    private boolean isAvailable(String failureDomain, long nowMillis) {
        return nowMillis >= mUnavailableUntilMillis.getOrDefault(failureDomain, 0L);
    }

    private List<FleetOperations.ScaleOrder> ordersWithoutReclaimable(
            String service, Scaling scaling, List<Endpoint> endpoints, int size) {
        List<String> domains = domains(scaling);
        Map<String, Integer> nonReclaimable = count(endpoints, false);
        Map<String, Integer> counts = distributeEvenly(domains, size, scaling.maximum());
        List<FleetOperations.ScaleOrder> orders = new ArrayList<>();
        for (String domain : domains) {
            int present = nonReclaimable.getOrDefault(domain, 0);
            if (counts.getOrDefault(domain, 0) > present) {
                orders.add(
                        new FleetOperations.ScaleOrder(service, domain, counts.get(domain), false));
            }
        }
        return orders;
    }

    /** Distributes a number evenly over the failure domains, the cheapest domains first. */
    private static Map<String, Integer> distributeEvenly(
            List<String> domains, int number, int maximum) {
        Map<String, Integer> counts = new TreeMap<>();
        int remaining = number;
        boolean hasRoom = true;
        while (remaining > 0 && hasRoom) {
            hasRoom = false;
            for (String domain : domains) {
                if (remaining > 0 && counts.getOrDefault(domain, 0) < maximum) {
                    counts.merge(domain, 1, Integer::sum);
                    remaining--;
                    hasRoom = true;
                }
            }
        }
        return counts;
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

    /**
     * The endpoints of one failure domain.
     *
     * @param fixed number of non-reclaimable endpoints
     * @param reclaimable number of reclaimable endpoints
     * @param kept number of non-reclaimable endpoints to keep
     * @param available whether reclaimable endpoints can be ordered
     */
    private record DomainState(int fixed, int reclaimable, int kept, boolean available) {}

    /** The number and time of an accepted order. */
    private record AcceptedOrder(int count, long atMillis) {}

    /** The failure domain and kind of endpoint that an order refers to. */
    private record EndpointKind(String failureDomain, boolean reclaimable) {
        static EndpointKind of(FleetOperations.ScaleOrder order) {
            return new EndpointKind(order.failureDomain(), order.reclaimable());
        }
    }
}
