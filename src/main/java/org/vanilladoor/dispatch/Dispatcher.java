package org.vanilladoor.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.MonotonicClock;

/**
 * Gives traffic threads access to the dispatch core, which runs on the control thread.
 *
 * <p>Invariant: only the control thread accesses the core. Safe for use by any thread.
 */
public final class Dispatcher {
    private static final Duration DECISION_INTERVAL = Duration.ofMillis(20);
    private static final int MAXIMUM_RETAINED_DECISIONS = 10_000;
    private final ControlLoop mControl;
    private final DispatchCore mCore;
    private final Map<String, CompletableFuture<Decision>> mPending = new HashMap<>();
    private final Map<String, Decision> mRecentDecisions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Decision> eldest) {
                    return size() > MAXIMUM_RETAINED_DECISIONS;
                }
            };

    private Dispatcher(ControlLoop control, DispatchCore core) {
        mControl = control;
        mCore = core;
    }

    /** Returns a dispatcher for the core and starts making decisions at a fixed interval. */
    public static Dispatcher start(ControlLoop control, DispatchCore core) {
        Dispatcher dispatcher = new Dispatcher(control, core);
        control.scheduleWithFixedDelay(DECISION_INTERVAL, dispatcher::decide);
        return dispatcher;
    }

    /** Submits a call; the future completes with its decision. */
    public CompletableFuture<Decision> submit(Call call) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    mPending.put(call.identifier(), decision);
                    mCore.submit(call);
                    decide();
                });
        return decision;
    }

    /** Records that the prefill of a call has ended. */
    public void recordFirstToken(String identifier) {
        mControl.execute(() -> mCore.recordFirstToken(identifier, MonotonicClock.nowMillis()));
    }

    /** Records that a call has ended at its endpoint, then makes the decisions this allows. */
    public void recordEnd(String identifier, Outcome outcome, int outputTokens) {
        mControl.execute(
                () -> {
                    mCore.recordEnd(identifier, outcome, outputTokens, MonotonicClock.nowMillis());
                    decide();
                });
    }

    /** Changes the core on the control thread, then makes the decisions this allows. */
    public void update(Consumer<DispatchCore> change) {
        mControl.execute(
                () -> {
                    change.accept(mCore);
                    decide();
                });
    }

    /** Runs a query on the core; the future completes with its result. */
    public <T> CompletableFuture<T> query(Function<DispatchCore, T> query) {
        return mControl.submit(() -> query.apply(mCore));
    }

    /** Looks up the last decision about a call; empty if it is unknown or no longer retained. */
    public CompletableFuture<Optional<Decision>> explain(String identifier) {
        return mControl.submit(() -> Optional.ofNullable(mRecentDecisions.get(identifier)));
    }

    private void decide() {
        List<Decision> decisions = mCore.decide(MonotonicClock.nowMillis());
        for (Decision decision : decisions) {
            String identifier = decision.call().identifier();
            mRecentDecisions.put(identifier, decision);
            CompletableFuture<Decision> pending = mPending.remove(identifier);
            if (pending != null) {
                pending.complete(decision);
            }
        }
    }
}
