package org.vanilladoor.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.provider.ObjectStore;

/**
 * Decides which of several attempts at the same call runs, so that the call runs at most once.
 *
 * <p>Correctness depends only on the platform's conditional updates. Invariant: of all attempts
 * with the same team and idempotency key, at most one is granted a claim and sent to an endpoint; a
 * granted attempt that was closed without being sent does not count. Safe for use by any thread.
 */
public final class ClaimLog {
    private static final int SHARD_COUNT = 16;
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(2);
    private static final Duration EXPIRY_PERIOD = Duration.ofMinutes(1);
    private static final String RESPONSE_PREFIX = "answers/";
    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final List<ClaimShard> mShards = new ArrayList<>();

    private ClaimLog(ControlLoop control, ObjectStore store) {
        mControl = control;
        mStore = store;
        for (int i = 0; i < SHARD_COUNT; i++) {
            mShards.add(
                    ClaimShard.create(
                            "claims/" + i + "/",
                            store,
                            control::execute,
                            MonotonicClock::nowMillis,
                            System::currentTimeMillis));
        }
    }

    /**
     * Starts the periodic work of a claim log on the control thread and returns the log.
     *
     * @param control control thread of the process
     * @param store object API of the platform
     * @param retention returns how long the records of a key are retained
     */
    public static ClaimLog start(
            ControlLoop control, ObjectStore store, Supplier<Duration> retention) {
        ClaimLog log = new ClaimLog(control, store);
        control.scheduleWithFixedDelay(TICK_PERIOD, () -> log.mShards.forEach(ClaimShard::tick));
        control.scheduleWithFixedDelay(
                REFRESH_PERIOD, () -> log.mShards.forEach(ClaimShard::refreshIfUsed));
        control.scheduleWithFixedDelay(
                EXPIRY_PERIOD,
                () -> {
                    long beforeEpochMillis =
                            System.currentTimeMillis() - retention.get().toMillis();
                    log.mShards.forEach(shard -> shard.expire(beforeEpochMillis));
                });
        return log;
    }

    /**
     * Creates an attempt; nothing is written to the log yet.
     *
     * @param team name of the team
     * @param idempotencyKey idempotency key from the caller's request
     * @param request digest of the request
     * @param deadlineMillis monotonic time after which the attempt is abandoned
     */
    public CompletableFuture<Attempt> createAttempt(
            String team, String idempotencyKey, String request, long deadlineMillis) {
        String key = Digests.sha256(team + '\u0000' + idempotencyKey);
        return mControl.submit(
                () ->
                        new Attempt(
                                Identifiers.random(),
                                key,
                                request,
                                shardOf(key).recordUseAndReturnPosition(),
                                deadlineMillis));
    }

    /** Claims the call; completes with whether the attempt may be sent to an endpoint. */
    public CompletableFuture<ClaimOutcome> claim(Attempt attempt) {
        return submit(ClaimRules.CLAIM, attempt);
    }

    /**
     * Closes an attempt that was not sent to an endpoint.
     *
     * <p>Completes with {@link ClaimOutcome.Kind#CLOSED} once it is certain that neither this
     * attempt nor an earlier one has run or will run, and with the reason otherwise.
     */
    public CompletableFuture<ClaimOutcome> close(Attempt attempt) {
        return submit(ClaimRules.CLOSE, attempt);
    }

    /** Stores the response of an attempt that ran, for retries. */
    public CompletableFuture<Void> storeResponse(Attempt attempt, StoredResponse response) {
        return mStore.write(
                        responseObjectName(attempt.identifier()),
                        ObjectStore.ABSENT,
                        Json.write(response))
                .thenApply(version -> null);
    }

    /** Completes with the stored response of an attempt, or empty if none is stored yet. */
    public CompletableFuture<Optional<StoredResponse>> readResponse(String attempt) {
        return mStore.read(responseObjectName(attempt))
                .thenApply(
                        found ->
                                found.map(
                                        object ->
                                                Json.read(object.content(), StoredResponse.class)));
    }

    static String responseObjectName(String attempt) {
        return RESPONSE_PREFIX + attempt;
    }

    private CompletableFuture<ClaimOutcome> submit(ClaimRules rules, Attempt attempt) {
        return mControl.submit(() -> shardOf(attempt.key()).submit(rules, attempt))
                .thenCompose(result -> result);
    }

    private ClaimShard shardOf(String key) {
        return mShards.get(Math.floorMod(Digests.placementHash(key), SHARD_COUNT));
    }
}
