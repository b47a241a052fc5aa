package org.vanilladoor.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.fleet.CallCost;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointFilter;
import org.vanilladoor.fleet.Placement;
import org.vanilladoor.fleet.RequestProfile;
import org.vanilladoor.fleet.WorkPhase;
import org.vanilladoor.route.Route;
import org.vanilladoor.route.ServiceDefinition;

/**
 * Asks the placement for the endpoints of one request's calls.
 *
 * <p>Confined to the control thread.
 */
final class EndpointChoice {
    /** Part of the objective for which a prompt may wait at an engine; urgent ones can't pass. */
    private static final double MAXIMUM_WAIT_OBJECTIVES = 0.5;

    /** Prompts longer than this many tokens are prefilled on a separate engine. */
    private static final long SEPARATE_PREFILL_THRESHOLD_TOKENS = 600;

    private final Placement mPlacement;
    private final RequestProfile mProfile;
    private final long mObjectiveMillis;
    private final StreamOrigin mOrigin;
    private final EndpointFilter mFilter;

    private EndpointChoice(
            Placement placement,
            RequestProfile profile,
            StreamOrigin origin,
            long objectiveMillis) {
        mPlacement = placement;
        mProfile = profile;
        mOrigin = origin;
        mFilter = EndpointFilter.toRun(origin::mayRunAt);
        mObjectiveMillis = objectiveMillis;
    }

    static EndpointChoice create(
            GatewayContext context,
            CallerRequest request,
            Route route,
            String service,
            StreamOrigin origin) {
        long kvCacheTokens =
                context.state()
                        .configuration()
                        .flatMap(configuration -> configuration.service(service))
                        .flatMap(ServiceDefinition::engine)
                        .map(ServiceDefinition.EngineDefinition::kvCacheTokens)
                        .orElse(0L);
        RequestProfile profile =
                request.prompt()
                        .map(prompt -> profile(prompt, route, service, kvCacheTokens))
                        .orElseGet(() -> RequestProfile.plain(service, route.name()));
        return new EndpointChoice(context.placement(), profile, origin, route.objectiveMillis());
    }

    private static RequestProfile profile(
            PromptMetadata prompt, Route route, String service, long kvCacheTokens) {
        return new RequestProfile(
                service,
                route.name(),
                prompt.affinityKey(),
                prompt.promptTokens(),
                prompt.sharedPrefixTokens(),
                prompt.maximumOutputTokens(),
                prompt.lengthHint(),
                kvCacheTokens);
    }

    /** Excludes an endpoint from all further choices. */
    void exclude(Endpoint endpoint) {
        mFilter.exclude(endpoint.name());
    }

    /** Returns whether an endpoint may run the request. */
    boolean hasEndpoint() {
        return mPlacement.hasEndpoint(mProfile.service(), mFilter, now());
    }

    /** Returns why a request for which there is no endpoint is refused. */
    Refusal refusalWithoutEndpoint() {
        if (millisUntilRoom().isPresent()) {
            return Refusal.LIMITED;
        }
        EndpointFilter others = EndpointFilter.toRun(mOrigin::mayEverRunAt);
        boolean hasOthers = mPlacement.hasEndpoint(mProfile.service(), others, now());
        return hasOthers ? Refusal.NOT_RUN : Refusal.NO_ENDPOINT;
    }

    /** Returns whether another engine is expected to prefill the prompt sooner, if it is long. */
    boolean isSeparatePrefillSooner() {
        return mProfile.promptTokens() > SEPARATE_PREFILL_THRESHOLD_TOKENS
                && mPlacement.hasPrefillEngines(mProfile.service(), mFilter)
                && !mPlacement.isOwnPrefillSooner(mProfile, mFilter, now());
    }

    /** Returns when an endpoint will have room, if limits alone keep the request back. */
    OptionalLong millisUntilRoom() {
        return mPlacement.millisUntilRoom(mProfile.service(), mFilter, now());
    }

    /** Returns whether the service's endpoints are chosen by expected end. */
    boolean isByCost() {
        return mPlacement.isByCost(mProfile.service());
    }

    /** Returns the engine that is to prefill the prompt for another one, if one has room. */
    Optional<Endpoint> prefillEngine() {
        return mPlacement.choosePrefillEngine(
                mProfile, MAXIMUM_WAIT_OBJECTIVES * mObjectiveMillis, mFilter, now());
    }

    /** Returns the endpoint that is to run the request. */
    Optional<Endpoint> runEndpoint(KvCacheSlot kvCache) {
        return mPlacement.chooseEndpoint(
                mProfile, runPhase(kvCache), kvCache.failureDomain(), mFilter, now());
    }

    /** Returns whether the request has to wait until an engine has memory for it. */
    boolean isOutOfMemory(KvCacheSlot kvCache) {
        return mPlacement.isOutOfMemory(mProfile, runPhase(kvCache), mFilter, now());
    }

    /** Returns the cost of a call that is about to be sent. */
    CallCost openCall(Endpoint endpoint, EndpointCall.Stage stage, KvCacheSlot kvCache) {
        WorkPhase phase =
                stage == EndpointCall.Stage.READ_PROMPT ? WorkPhase.PREFILL : runPhase(kvCache);
        return mPlacement.openCall(mProfile, endpoint, phase, kvCache.failureDomain(), now());
    }

    /** Returns the time after which a refused caller is told to come back. */
    long retryAfterMillis(Refusal refusal, long drainMillis) {
        return RetryAfter.millis(
                refusal, mObjectiveMillis, millisUntilRoom().orElse(0), drainMillis);
    }

    private static long now() {
        return MonotonicClock.nowMillis();
    }

    private static WorkPhase runPhase(KvCacheSlot kvCache) {
        return kvCache.kept().isPresent() ? WorkPhase.RUN_WITH_CACHE : WorkPhase.RUN;
    }
}
