package org.vanilladoor.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.engine.EngineRole;

/**
 * Chooses the endpoint for a call.
 *
 * <p>Rendezvous hashing makes all VMs send the prefill of prompts with the same shared prefix to
 * the same engine, without coordination, while that engine is below its limit. All other calls go
 * to the least loaded endpoint, preferably in the same failure domain. Once an endpoint of a
 * service has stated how long work takes there, {@link CostPlacement} chooses among the service's
 * endpoints instead. Invariant: an endpoint that is leaving, by its entry or by its own word, is
 * changing its role or wants no requests is never chosen. Does no I/O; time is passed in as an
 * argument. Confined to the control thread.
 */
public final class Placement {
    /** Time for which an unreachable endpoint is avoided, in milliseconds. */
    public static final long UNREACHABLE_MILLIS = 700;

    /** Time for which an endpoint that refused a call is avoided, in milliseconds. */
    public static final long REFUSED_MILLIS = 150;

    /** Concurrent prefills from this VM at the engine ranked first for the shared prefix. */
    private static final int MAXIMUM_PREFILLS_FIRST_RANKED = 2;

    /**
     * Concurrent prefills from this VM at any other engine, which has to prefill the shared prefix
     * too.
     */
    private static final int MAXIMUM_PREFILLS_OTHER = 1;

    /** Cost of using another failure domain, as a fraction of an endpoint's slots. */
    private static final double DISTANCE_PENALTY = 0.15;

    /** Relative increase of an endpoint's load cost for each recent failure. */
    private static final double FAILURE_PENALTY = 1.5;

    /**
     * Maximum random cost, as a fraction of the slots; spreads the choices of VMs among equal
     * endpoints.
     */
    private static final double JITTER = 0.02;

    /** Factor of the expected end at an endpoint that is avoided while there are others. */
    private static final double AVOIDANCE_FACTOR = 1_000;

    private final EndpointDirectory mDirectory;
    private final String mOwnDomain;
    private final RequestLimits mLimits;
    private final RandomGenerator mRandom;
    private final CostPlacement mCosts;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();

    private Placement(
            EndpointDirectory directory,
            String ownDomain,
            RequestLimits limits,
            RandomGenerator random) {
        mDirectory = directory;
        mOwnDomain = ownDomain;
        mLimits = limits;
        mRandom = random;
        mCosts = CostPlacement.create(ownDomain, random);
    }

    /**
     * Returns a placement without load data.
     *
     * @param directory directory of the endpoints
     * @param ownDomain failure domain of this VM
     * @param limits limits that endpoints state
     * @param random spreads choices among equal endpoints
     */
    public static Placement create(
            EndpointDirectory directory,
            String ownDomain,
            RequestLimits limits,
            RandomGenerator random) {
        return new Placement(directory, ownDomain, limits, random);
    }

    /** Returns whether a service has a usable prefill engine that is not excluded. */
    public boolean hasPrefillEngines(String service, EndpointFilter filter) {
        return !candidates(service, Set.of(EngineRole.PREFILL), filter).isEmpty();
    }

    /**
     * Returns the time until an endpoint of the service has room within its limit and wants
     * requests again, or empty if no endpoint is kept back by that alone.
     */
    public OptionalLong millisUntilRoom(String service, EndpointFilter filter, long nowMillis) {
        return reachableRunCandidates(service, filter, nowMillis)
                .mapToLong(endpoint -> millisUntilRoom(endpoint, nowMillis))
                .min();
    }

    private long millisUntilRoom(Endpoint endpoint, long nowMillis) {
        return Math.max(
                mLimits.millisUntilRoom(endpoint, nowMillis),
                load(endpoint.name()).pauseMillis(nowMillis));
    }

    /** Returns whether an endpoint wants requests of any kind from this VM now. */
    public boolean wantsRequests(Endpoint endpoint, long nowMillis) {
        return load(endpoint.name()).pauseMillis(nowMillis) == 0;
    }

    /** Returns whether {@link #chooseEndpoint} would find an endpoint. */
    public boolean hasEndpoint(String service, EndpointFilter filter, long nowMillis) {
        return !runCandidates(service, filter, nowMillis).isEmpty();
    }

    /**
     * Returns the engine that is to prefill a prompt for another one, or empty if none is below its
     * limit.
     *
     * @param affinityKey key that prompts with the same shared prefix have in common
     * @param filter the endpoints that may be chosen
     */
    public Optional<Endpoint> choosePrefillEngine(
            String service, String affinityKey, EndpointFilter filter, long nowMillis) {
        Map<String, Endpoint> byName = new HashMap<>();
        candidates(service, Set.of(EngineRole.PREFILL), filter)
                .forEach(endpoint -> byName.put(endpoint.name(), endpoint));
        List<String> ranked = RendezvousRanking.rank(affinityKey, byName.keySet());
        for (int rank = 0; rank < ranked.size(); rank++) {
            EndpointLoad load = load(ranked.get(rank));
            int limit = rank == 0 ? MAXIMUM_PREFILLS_FIRST_RANKED : MAXIMUM_PREFILLS_OTHER;
            Endpoint engine = byName.get(ranked.get(rank));
            if (!load.isAvoided(nowMillis)
                    && load.ownRequests() < limit
                    && millisUntilRoom(engine, nowMillis) == 0) {
                return Optional.of(engine);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoint that is to run a request, or empty if there is none.
     *
     * @param preferredDomain preferred failure domain; this VM's one if empty
     * @param filter the endpoints that may be chosen
     */
    public Optional<Endpoint> chooseEndpoint(
            String service,
            Optional<String> preferredDomain,
            EndpointFilter filter,
            long nowMillis) {
        List<Endpoint> candidates = runCandidates(service, filter, nowMillis);
        String domain = preferredDomain.orElse(mOwnDomain);
        return candidates.stream()
                .map(endpoint -> new Candidate(endpoint, cost(endpoint, domain, nowMillis)))
                .min(Comparator.comparingDouble(Candidate::cost))
                .map(Candidate::endpoint);
    }

    /** Returns whether the service's endpoints are chosen by expected end. */
    public boolean isByCost(String service) {
        return mCosts.isActive(service);
    }

    /**
     * Returns the engine that is to prefill a request's prompt, or empty if it has to wait for one.
     *
     * @param maximumWaitMillis maximum of the expected wait at the engine
     * @param filter the endpoints that may be chosen
     */
    public Optional<Endpoint> choosePrefillEngine(
            RequestProfile request,
            double maximumWaitMillis,
            EndpointFilter filter,
            long nowMillis) {
        if (!mCosts.isActive(request.service())) {
            return choosePrefillEngine(request.service(), request.prefixKey(), filter, nowMillis);
        }
        return mCosts.chooseForPrefill(
                request,
                prefillCandidates(request.service(), filter, nowMillis),
                maximumWaitMillis,
                nowMillis);
    }

    /**
     * Returns the endpoint that is to run a request, or empty if there is none with room.
     *
     * @param phase {@link WorkPhase#RUN} or {@link WorkPhase#RUN_WITH_CACHE}
     * @param preferredDomain preferred failure domain; this VM's one if empty
     * @param filter the endpoints that may be chosen
     */
    public Optional<Endpoint> chooseEndpoint(
            RequestProfile request,
            WorkPhase phase,
            Optional<String> preferredDomain,
            EndpointFilter filter,
            long nowMillis) {
        if (!mCosts.isActive(request.service())) {
            return chooseEndpoint(request.service(), preferredDomain, filter, nowMillis);
        }
        return mCosts.chooseForRun(
                request,
                phase,
                runCandidates(request.service(), filter, nowMillis),
                preferredDomain.orElse(mOwnDomain),
                endpoint -> penalty(load(endpoint.name()), nowMillis),
                nowMillis);
    }

    /** Returns whether no endpoint that could run a request has memory for it. */
    public boolean isOutOfMemory(
            RequestProfile request, WorkPhase phase, EndpointFilter filter, long nowMillis) {
        if (request.kvCacheTokens() <= 0 || !mCosts.isActive(request.service())) {
            return false;
        }
        List<Endpoint> candidates = runCandidates(request.service(), filter, nowMillis);
        return !candidates.isEmpty() && !mCosts.hasRoom(request, phase, candidates, nowMillis);
    }

    /**
     * Returns whether the engine that runs a request is expected to end its prefill sooner than a
     * prefill engine and the transfer of the KV cache together.
     */
    public boolean isOwnPrefillSooner(
            RequestProfile request, EndpointFilter filter, long nowMillis) {
        return mCosts.isActive(request.service())
                && mCosts.isOwnPrefillSooner(
                        request,
                        prefillCandidates(request.service(), filter, nowMillis),
                        runCandidates(request.service(), filter, nowMillis),
                        nowMillis);
    }

    /**
     * Returns the cost of a call that is about to be sent, which counts as outstanding work of its
     * endpoint until the call ends.
     *
     * @param cacheDomain failure domain of the KV cache that the call fetches, if it does
     */
    public CallCost openCall(
            RequestProfile request,
            Endpoint endpoint,
            WorkPhase phase,
            Optional<String> cacheDomain,
            long nowMillis) {
        return mCosts.open(request, endpoint, phase, cacheDomain, nowMillis);
    }

    private static double penalty(EndpointLoad load, long nowMillis) {
        return (1 + FAILURE_PENALTY * load.failures(nowMillis))
                * (load.isAvoided(nowMillis) ? AVOIDANCE_FACTOR : 1);
    }

    private List<Endpoint> prefillCandidates(
            String service, EndpointFilter filter, long nowMillis) {
        return candidates(service, Set.of(EngineRole.PREFILL), filter).stream()
                .filter(endpoint -> !load(endpoint.name()).isAvoided(nowMillis))
                .filter(endpoint -> millisUntilRoom(endpoint, nowMillis) == 0)
                .toList();
    }

    /** Returns whether an endpoint is leaving, or has left, so that its end is no crash. */
    public boolean isLeaving(Endpoint endpoint) {
        return hasSaidThatItLeaves(endpoint)
                || mDirectory.find(endpoint.name()).map(Endpoint::leaving).orElse(true);
    }

    /**
     * Returns whether another process than the one described now has an endpoint's name, with
     * another version of its software.
     */
    public boolean hasOtherVersion(Endpoint endpoint) {
        return mDirectory
                .find(endpoint.name())
                .filter(current -> !current.version().equals(endpoint.version()))
                .isPresent();
    }

    /** Records a request of any kind to an endpoint, which counts against its limit. */
    public void recordSent(Endpoint endpoint, long nowMillis) {
        mLimits.recordSent(endpoint, nowMillis);
    }

    /** Records what a response of an endpoint says about its limit. */
    public void recordStatement(Endpoint endpoint, StatedLimit stated, long nowMillis) {
        mLimits.recordStatement(endpoint, stated, nowMillis);
    }

    /** Records what a response of an endpoint says about further requests. */
    public void recordNotice(Endpoint endpoint, EndpointNotice notice, long nowMillis) {
        EndpointLoad load = load(endpoint.name());
        if (notice.leaving() && !hasSaidThatItLeaves(endpoint)) {
            load.recordLeaving(endpoint.startMillis());
            EventLog.write("endpoints", "leaving.stated", "endpoint", endpoint.name());
        }
        if (notice.pauseMillis() > 0) {
            load.pauseFor(nowMillis, notice.pauseMillis());
            EventLog.write(
                    "endpoints",
                    "pause.stated",
                    "endpoint",
                    endpoint.name(),
                    "millis",
                    notice.pauseMillis());
        }
    }

    private boolean hasSaidThatItLeaves(Endpoint endpoint) {
        return load(endpoint.name()).isLeaving(endpoint.startMillis());
    }

    /** Records that a call to an endpoint has started. */
    public void recordStart(Endpoint endpoint) {
        load(endpoint.name()).recordStart();
    }

    /** Records that a call has ended, with any outcome. */
    public void recordEnd(Endpoint endpoint) {
        load(endpoint.name()).recordEnd();
    }

    /** Records the load that an endpoint stated in a response. */
    public void recordLoad(Endpoint endpoint, LoadSample sample, long nowMillis) {
        load(endpoint.name()).recordLoad(sample, nowMillis);
        mCosts.recordLoad(endpoint, sample, nowMillis);
    }

    /** Records a successful call. */
    public void recordSuccess(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).recordSuccess(nowMillis);
    }

    /** Records a failed call. */
    public void recordFailure(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).recordFailure(nowMillis, 0);
    }

    /** Records a response that does not end, and avoids the endpoint for a while. */
    public void recordEndless(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).recordEndless(nowMillis);
        EventLog.write("endpoints", "response.endless", "endpoint", endpoint.name());
    }

    /**
     * Records that an endpoint is unreachable or did not respond, and avoids it for {@link
     * #UNREACHABLE_MILLIS}.
     */
    public void recordUnreachable(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).recordFailure(nowMillis, UNREACHABLE_MILLIS);
    }

    /**
     * Records that an endpoint refused the connection, so that nothing serves at its address, and
     * excludes it for {@link #UNREACHABLE_MILLIS}.
     */
    public void recordConnectionRefused(Endpoint endpoint, long nowMillis) {
        EndpointLoad load = load(endpoint.name());
        load.recordFailure(nowMillis, UNREACHABLE_MILLIS);
        load.excludeFor(nowMillis, UNREACHABLE_MILLIS);
    }

    /**
     * Records that an endpoint refused a call without running it, and avoids it for {@link
     * #REFUSED_MILLIS}.
     */
    public void recordRefusal(Endpoint endpoint, long nowMillis) {
        load(endpoint.name()).avoidFor(nowMillis, REFUSED_MILLIS);
    }

    /**
     * Removes the load data of endpoints that are not in the directory and have no calls in
     * progress.
     */
    public void removeUnlisted() {
        mCosts.removeUnlisted(name -> mDirectory.find(name).isPresent());
        mLimits.removeUnlisted(name -> mDirectory.find(name).isPresent());
        mLoads.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().ownRequests() == 0
                                        && mDirectory.find(entry.getKey()).isEmpty());
    }

    private double cost(Endpoint endpoint, String preferredDomain, long nowMillis) {
        EndpointLoad load = load(endpoint.name());
        double relativeLoad = (load.requests(nowMillis) + 1) / Math.max(1, endpoint.slots());
        double failureFactor = 1 + FAILURE_PENALTY * load.failures(nowMillis);
        double distanceCost =
                endpoint.failureDomain().equals(preferredDomain) ? 0 : DISTANCE_PENALTY;
        double avoidanceCost = load.isAvoided(nowMillis) ? endpoint.slots() : 0;
        return relativeLoad * failureFactor
                + distanceCost
                + avoidanceCost
                + JITTER * mRandom.nextDouble();
    }

    private List<Endpoint> runCandidates(String service, EndpointFilter filter, long nowMillis) {
        return reachableRunCandidates(service, filter, nowMillis)
                .filter(endpoint -> millisUntilRoom(endpoint, nowMillis) == 0)
                .toList();
    }

    private Stream<Endpoint> reachableRunCandidates(
            String service, EndpointFilter filter, long nowMillis) {
        return candidates(service, Set.of(EngineRole.DECODE, EngineRole.MIXED), filter).stream()
                .filter(filter::mayRun)
                .filter(endpoint -> !load(endpoint.name()).isExcluded(nowMillis));
    }

    private List<Endpoint> candidates(
            String service, Set<EngineRole> roles, EndpointFilter filter) {
        return mDirectory.findByService(service).stream()
                .filter(Endpoint::isUsable)
                .filter(endpoint -> !hasSaidThatItLeaves(endpoint))
                .filter(endpoint -> roles.contains(endpoint.role()))
                .filter(filter::mayWork)
                .toList();
    }

    private EndpointLoad load(String name) {
        return mLoads.computeIfAbsent(name, key -> new EndpointLoad());
    }

    /** An endpoint with the cost of choosing it. */
    private record Candidate(Endpoint endpoint, double cost) {}
}
