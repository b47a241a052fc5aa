package org.vanilladoor.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Decides how many engines of one service read prompts for others, from the work that goes on.
 *
 * <p>Invariants: at least {@link #LEAST_RUNNERS} engines run requests, in as many failure domains
 * as can be, before any is set to read; an engine keeps a role for {@link #DWELL_MILLIS}. Time and
 * measurements go in, role changes come out; belongs to the control thread.
 */
public final class FleetPlan {
    /** Engines that run requests whatever the work, so that one may be lost. */
    private static final int LEAST_RUNNERS = 2;

    /** Part of the engines that run whatever the work: chats triple sooner than a role changes. */
    private static final double LEAST_RUNNING_PART = 0.25;

    /** Prompts being read, on average, from which on engines that nobody needs else read. */
    private static final double LEAST_READING = 0.05;

    /** Part of the engines that read before any work has been seen; prompts are long these days. */
    private static final double FIRST_READERS = 0.75;

    private static final int LEAST_ENGINES_TO_PREPARE = 4;

    /** Part of the slots in use above which another running engine is needed. */
    private static final double BUSY_RUNNING = 0.8;

    /** Part of the slots that is in use after a change, so that the next one is not near. */
    private static final double SPARE_RUNNING = 0.55;

    /** Time after which a peak of running requests counts a third, in milliseconds. */
    private static final double PEAK_FADE_MILLIS = 60_000;

    /** Time for which an engine keeps a role, in milliseconds; a change takes it away for a few. */
    private static final long DWELL_MILLIS = 20_000;

    /** How much running requests have to exceed their latest peak to count as a rise. */
    private static final double RISE = 1.2;

    /** Time after a rise, or a change to running, in which no engine stops running. */
    private static final long RISING_MILLIS = 6_000;

    private final Map<String, Long> mChangedMillis = new HashMap<>();
    private long mRunnersNeededMillis = Long.MIN_VALUE / 2;
    private double mPeakRunning;
    private long mPeakMillis;

    private FleetPlan() {}

    /** Returns a plan that has changed nothing. */
    public static FleetPlan create() {
        return new FleetPlan();
    }

    /**
     * Returns the role changes to order now.
     *
     * @param service the service; without engines nothing is changed
     * @param endpoints its endpoints
     * @param work the work that goes on there
     */
    public List<RoleChange> decide(
            ServiceDefinition service, List<Endpoint> endpoints, Work work, long nowMillis) {
        if (service.engine().isEmpty()) {
            return List.of();
        }
        List<Endpoint> usable = endpoints.stream().filter(each -> !each.leaving()).toList();
        List<Endpoint> runners = withRole(usable, EngineRole.DECODE);
        List<Endpoint> readers = withRole(usable, EngineRole.PREFILL);
        int slots = service.engine().get().slots();
        Work reckoned = new Work(work.reading(), peakRunning(work.running(), nowMillis));
        int wanted = wantedReaders(usable.size(), readers.size(), reckoned, slots);
        int missing = wanted - readers.size();
        boolean mayStopRunning =
                readers.isEmpty() || nowMillis - mRunnersNeededMillis >= RISING_MILLIS;
        if (missing > 0) {
            return mayStopRunning
                    ? changes(runners, missing, EngineRole.PREFILL, nowMillis)
                    : List.of();
        }
        return changes(readers, -missing, EngineRole.DECODE, nowMillis);
    }

    private List<RoleChange> changes(
            List<Endpoint> engines, int number, EngineRole role, long nowMillis) {
        List<Endpoint> left = new ArrayList<>(engines);
        List<RoleChange> changes = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Optional<Endpoint> engine = mostCrowded(left, nowMillis);
            engine.ifPresent(left::remove);
            engine.ifPresent(each -> changes.add(new RoleChange(each, role)));
        }
        return changes;
    }

    /** Returns the running requests to reckon with: the latest peak, fading slowly. */
    private double peakRunning(double running, long nowMillis) {
        double faded = mPeakRunning * Math.exp((mPeakMillis - nowMillis) / PEAK_FADE_MILLIS);
        if (faded > 0 && running > RISE * faded) {
            mRunnersNeededMillis = nowMillis;
        }
        mPeakRunning = Math.max(running, faded);
        mPeakMillis = nowMillis;
        return mPeakRunning;
    }

    /** Notes that a change was ordered; engines that change to running need seconds for it. */
    public void ordered(RoleChange change, long nowMillis) {
        mChangedMillis.put(change.engine().name(), nowMillis);
        if (change.role() == EngineRole.DECODE) {
            mRunnersNeededMillis = nowMillis;
        }
    }

    private static int wantedReaders(int engines, int readers, Work work, int slots) {
        double neededSlots = work.running() / Math.max(1, slots);
        int runners = engines - readers;
        if (runners < leastRunners(engines) || neededSlots > BUSY_RUNNING * runners) {
            return Math.min(readers, engines - runnersFor(neededSlots, engines));
        }
        if (work.reading() == 0 && work.running() == 0 && engines >= LEAST_ENGINES_TO_PREPARE) {
            return Math.max(readers, (int) (engines * FIRST_READERS));
        }
        boolean asked = work.reading() > LEAST_READING;
        return asked ? Math.max(readers, engines - runnersFor(neededSlots, engines)) : readers;
    }

    private static int runnersFor(double neededSlots, int engines) {
        return Math.max(leastRunners(engines), (int) Math.ceil(neededSlots / SPARE_RUNNING));
    }

    private static int leastRunners(int engines) {
        return Math.max(LEAST_RUNNERS, (int) (engines * LEAST_RUNNING_PART));
    }

    /**
     * Returns an engine of the failure domain that has most of them, if one may change; the
     * youngest, which has the least work to finish first.
     */
    private Optional<Endpoint> mostCrowded(List<Endpoint> engines, long nowMillis) {
        Map<String, Integer> perDomain = new HashMap<>();
        engines.forEach(each -> perDomain.merge(each.failureDomain(), 1, Integer::sum));
        return engines.stream()
                .filter(each -> mayChange(each, nowMillis))
                .max(
                        Comparator.comparingInt(
                                        (Endpoint each) -> perDomain.get(each.failureDomain()))
                                .thenComparing(Endpoint::bornMillis)
                                .thenComparing(Endpoint::name));
    }

    private boolean mayChange(Endpoint engine, long nowMillis) {
        Long changed = mChangedMillis.get(engine.name());
        return changed == null || nowMillis - changed >= DWELL_MILLIS;
    }

    private static List<Endpoint> withRole(List<Endpoint> endpoints, EngineRole role) {
        return endpoints.stream().filter(each -> each.role() == role).toList();
    }

    /**
     * A role that an engine is to take.
     *
     * @param engine the engine
     * @param role its next role
     */
    public record RoleChange(Endpoint engine, EngineRole role) {}
}
