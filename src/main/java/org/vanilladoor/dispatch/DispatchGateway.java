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
 * Brings the calls of traffic threads to the dispatch core on the control thread.
 *
 * <p>Invariant: the core is touched by the control thread only. All methods may be called by any
 * thread.
 */
public final class DispatchGateway {
    private static final Duration PULSE = Duration.ofMillis(20);
    private static final int EXPLAINED_DECISIONS = 10_000;
    private final ControlLoop mControl;
    private final DispatchCore mCore;
    private final Map<String, CompletableFuture<Decision>> mPending = new HashMap<>();
    private final Map<String, Decision> mExplained =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Decision> eldest) {
                    return size() > EXPLAINED_DECISIONS;
                }
            };

    private DispatchGateway(ControlLoop control, DispatchCore core) {
        mControl = control;
        mCore = core;
    }

    /** Returns a gateway to the core and starts its pulse. */
    public static DispatchGateway start(ControlLoop control, DispatchCore core) {
        DispatchGateway gateway = new DispatchGateway(control, core);
        control.scheduleWithFixedDelay(PULSE, gateway::decide);
        return gateway;
    }

    /** Completes with the decision about a call. */
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

    /** Notes that a call's prompt has been read. */
    public void firstToken(String identifier) {
        mControl.execute(() -> mCore.firstToken(identifier, MonotonicClock.nowMillis()));
    }

    /** Notes that a call has ended at its endpoint. */
    public void finish(String identifier, Outcome outcome, int outputTokens) {
        mControl.execute(
                () -> {
                    mCore.finish(identifier, outcome, outputTokens, MonotonicClock.nowMillis());
                    decide();
                });
    }

    /** Changes the core on the control thread and decides anew. */
    public void update(Consumer<DispatchCore> change) {
        mControl.execute(
                () -> {
                    change.accept(mCore);
                    decide();
                });
    }

    /** Completes with what the query returns of the core. */
    public <T> CompletableFuture<T> query(Function<DispatchCore, T> query) {
        return mControl.submit(() -> query.apply(mCore));
    }

    /** Completes with the last decision about a call, if it is still known. */
    public CompletableFuture<Optional<Decision>> explain(String identifier) {
        return mControl.submit(() -> Optional.ofNullable(mExplained.get(identifier)));
    }

    private void decide() {
        List<Decision> decisions = mCore.decide(MonotonicClock.nowMillis());
        for (Decision decision : decisions) {
            String identifier = decision.call().identifier();
            mExplained.put(identifier, decision);
            CompletableFuture<Decision> pending = mPending.remove(identifier);
            if (pending != null) {
                pending.complete(decision);
            }
        }
    }
}
