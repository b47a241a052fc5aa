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
 * Settles which attempt at a call that may run at most once runs.
 *
 * <p>Correctness rests on the platform's conditional updates alone. Invariant: of all attempts with
 * one team and idempotency key, at most one is granted that does not close again before it is
 * handed over. All methods may be called by any thread.
 */
public final class ClaimLog {
    private static final int SHARDS = 16;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration REFRESH = Duration.ofSeconds(2);
    private static final Duration EXPIRY = Duration.ofMinutes(1);
    private static final String ANSWER_PREFIX = "answers/";
    private final ControlLoop mControl;
    private final ObjectStore mStore;
    private final List<ClaimShard> mShards = new ArrayList<>();

    private ClaimLog(ControlLoop control, ObjectStore store) {
        mControl = control;
        mStore = store;
        for (int i = 0; i < SHARDS; i++) {
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
     * Starts a claim log.
     *
     * @param control control thread of the process
     * @param store object API of the platform
     * @param retention returns how long a key is remembered
     */
    public static ClaimLog start(
            ControlLoop control, ObjectStore store, Supplier<Duration> retention) {
        ClaimLog log = new ClaimLog(control, store);
        control.scheduleWithFixedDelay(TICK, () -> log.mShards.forEach(ClaimShard::tick));
        control.scheduleWithFixedDelay(
                REFRESH, () -> log.mShards.forEach(ClaimShard::refreshIfUsed));
        control.scheduleWithFixedDelay(
                EXPIRY,
                () -> {
                    long before = System.currentTimeMillis() - retention.get().toMillis();
                    log.mShards.forEach(shard -> shard.expire(before));
                });
        return log;
    }

    /**
     * Takes an attempt in; nothing is recorded yet.
     *
     * @param team name of the team
     * @param idempotencyKey key that the caller gave
     * @param request digest of the request
     * @param deadlineMillis monotonic time after which the attempt is given up
     */
    public CompletableFuture<Attempt> receive(
            String team, String idempotencyKey, String request, long deadlineMillis) {
        String key = Digests.sha256(team + '\u0000' + idempotencyKey);
        return mControl.submit(
                () ->
                        new Attempt(
                                Identifiers.random(),
                                key,
                                request,
                                shard(key).positionForAttempt(),
                                deadlineMillis));
    }

    /** Completes with whether the attempt may be handed over. */
    public CompletableFuture<ClaimOutcome> claim(Attempt attempt) {
        return submit(ClaimRules.CLAIM, attempt);
    }

    /** Closes an attempt that was not handed over; completes with what can be said of its key. */
    public CompletableFuture<ClaimOutcome> close(Attempt attempt) {
        return submit(ClaimRules.CLOSE, attempt);
    }

    /** Keeps the answer of an attempt that ran. */
    public CompletableFuture<Void> keep(Attempt attempt, KeptAnswer answer) {
        return mStore.write(
                        answerObject(attempt.identifier()), ObjectStore.ABSENT, Json.write(answer))
                .thenApply(version -> null);
    }

    /** Completes with the kept answer of an attempt, or empty if none is kept yet. */
    public CompletableFuture<Optional<KeptAnswer>> answer(String attempt) {
        return mStore.read(answerObject(attempt))
                .thenApply(
                        found ->
                                found.map(object -> Json.read(object.content(), KeptAnswer.class)));
    }

    static String answerObject(String attempt) {
        return ANSWER_PREFIX + attempt;
    }

    private CompletableFuture<ClaimOutcome> submit(ClaimRules rules, Attempt attempt) {
        return mControl.submit(() -> shard(attempt.key()).submit(rules, attempt))
                .thenCompose(result -> result);
    }

    private ClaimShard shard(String key) {
        return mShards.get(Math.floorMod(Digests.placementHash(key), SHARDS));
    }
}
