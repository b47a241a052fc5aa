package org.vanilladoor.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.engine.EngineRole;

/**
 * Decides which endpoint gets a call.
 *
 * <p>Requests with the same shared start are read by the same engine from every VM without asking,
 * as long as it has room; whole requests go to the least loaded endpoint, near ones first.
 * Invariant: an endpoint that leaves or changes its role is never chosen. Time goes in, no socket
 * is touched; belongs to the control thread.
 */
public final class Placement {
    /** How long an endpoint that can't be reached is passed over, in milliseconds. */
    public static final long UNREACHABLE_MILLIS = 700;

    /** How long an endpoint that refused a call is passed over, in milliseconds. */
    public static final long REFUSED_MILLIS = 150;

    /** Reads of this VM at the engine that the shared start belongs to. */
    private static final int READS_AT_HOME = 2;

    /** Reads of this VM at any other engine, where the shared start has to be read again. */
    private static final int READS_ELSEWHERE = 1;

    /** Load that another failure domain has to be lower by, as a part of the slots. */
    private static final double DISTANCE_PENALTY = 0.15;

    /** How much worse one recent failure makes an endpoint look. */
    private static final double FAILURE_PENALTY = 1.5;

    /** Spreads equal choices of the VMs, as a part of the slots. */
    private static final double JITTER = 0.02;

    private final EndpointDirectory mDirectory;
    private final String mOwnDomain;
    private final RandomGenerator mRandom;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();

    private Placement(EndpointDirectory directory, String ownDomain, RandomGenerator random) {
        mDirectory = directory;
        mOwnDomain = ownDomain;
        mRandom = random;
    }

    /**
     * Returns a placement that knows no load.
     *
     * @param directory the endpoints
     * @param ownDomain failure domain of this VM
     * @param random spreads equal choices
     */
    public static Placement create(
            EndpointDirectory directory, String ownDomain, RandomGenerator random) {
        return new Placement(directory, ownDomain, random);
    }

    /** Returns whether a service has an engine that reads prompts for others. */
    public boolean hasPrefillEngines(String service, Set<String> excluded) {
        return !candidates(service, Set.of(EngineRole.PREFILL), excluded).isEmpty();
    }

    /**
     * Returns the engine that is to read a prompt for another one, if one has room.
     *
     * @param affinity what prompts with the same shared start have in common
     * @param excluded endpoints that are out of the question
     */
    public Optional<Endpoint> choosePrefillEngine(
            String service, String affinity, Set<String> excluded, long nowMillis) {
        Map<String, Endpoint> byName = new HashMap<>();
        candidates(service, Set.of(EngineRole.PREFILL), excluded)
                .forEach(endpoint -> byName.put(endpoint.name(), endpoint));
        List<String> ranked = RendezvousRanking.rank(affinity, byName.keySet());
        for (int place = 0; place < ranked.size(); place++) {
            EndpointLoad load = load(ranked.get(place));
            int limit = place == 0 ? READS_AT_HOME : READS_ELSEWHERE;
            if (!load.isAvoided(nowMillis) && load.own() < limit) {
                return Optional.of(byName.get(ranked.get(place)));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoint that is to run a request.
     *
     * @param near failure domain that is preferred; this VM's if empty
     * @param excluded endpoints that are out of the question
     */
    public Optional<Endpoint> chooseEndpoint(
            String service, Optional<String> near, Set<String> excluded, long nowMillis) {
        List<Endpoint> candidates =
                candidates(service, Set.of(EngineRole.DECODE, EngineRole.MIXED), excluded);
        String preferred = near.orElse(mOwnDomain);
        return candidates.stream()
                .map(endpoint -> new Choice(endpoint, cost(endpoint, preferred, nowMillis)))
                .min(Comparator.comparingDouble(Choice::cost))
                .map(Choice::endpoint);
    }

    /** Notes that a call goes to an endpoint. */
    public void recordStart(Endpoint endpoint) {
        load(endpoint.name()).started();
    }

    /** Notes that a call has ended, whatever its outcome. */
    public void recordEnd(Endpoint endpoint) {
        load(endpoint.name()).ended();
    }

    /** Takes in what an endpoint said of its load. */
    public void recordLoad(Endpoint endpoint, LoadSample sample, long nowMillis) {
        load(endpoint.name()).sample(sample, nowMillis);
    }

    /** Notes a good answer. */
    public void recordSuccess(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).succeeded(nowMillis);
    }

    /** Notes that an endpoint gave no good answer. */
    public void recordFailure(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).failed(nowMillis, 0);
    }

    /** Notes that an endpoint can't be reached or stays silent. */
    public void recordUnreachable(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).failed(nowMillis, UNREACHABLE_MILLIS);
    }

    /** Notes that an endpoint refused a call without running it. */
    public void recordRefusal(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).avoid(nowMillis, REFUSED_MILLIS);
    }

    /** Forgets endpoints that are gone and have no calls. */
    public void removeUnlisted() {
        mLoads.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().own() == 0
                                        && mDirectory.find(entry.getKey()).isEmpty());
    }

    private double cost(Endpoint endpoint, String preferredDomain, long nowMillis) {
        EndpointLoad load = load(endpoint.name());
        double share = (load.requests(nowMillis) + 1) / Math.max(1, endpoint.slots());
        double failing = 1 + FAILURE_PENALTY * load.failures(nowMillis);
        double distance = endpoint.failureDomain().equals(preferredDomain) ? 0 : DISTANCE_PENALTY;
        double avoided = load.isAvoided(nowMillis) ? endpoint.slots() : 0;
        return share * failing + distance + avoided + JITTER * mRandom.nextDouble();
    }

    private List<Endpoint> candidates(String service, Set<EngineRole> roles, Set<String> excluded) {
        return mDirectory.findByService(service).stream()
                .filter(Endpoint::isUsable)
                .filter(endpoint -> roles.contains(endpoint.role()))
                .filter(endpoint -> !excluded.contains(endpoint.name()))
                .toList();
    }

    private EndpointLoad load(String name) {
        return mLoads.computeIfAbsent(name, key -> new EndpointLoad());
    }

    /** An endpoint with what it costs to use it. */
    private record Choice(Endpoint endpoint, double cost) {}
}
