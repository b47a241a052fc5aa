package org.vanilladoor.provider;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanilladoor.standin.ObjectTable;

/**
 * An object store for tests. Each call stays pending until the test decides its outcome. Not safe
 * for use by several threads.
 */
public final class FakeObjectStore implements ObjectStore {
    private final ObjectTable mTable;
    private final List<Call<?>> mPending = new ArrayList<>();
    private final List<Call<?>> mDelayed = new ArrayList<>();

    private FakeObjectStore(ObjectTable table) {
        mTable = table;
    }

    public static FakeObjectStore create(ObjectTable table) {
        return new FakeObjectStore(table);
    }

    public boolean hasPending() {
        return !mPending.isEmpty();
    }

    /** Completes the oldest pending call with the given outcome, if there is one. */
    public void resolveOldest(CallOutcome outcome) {
        if (!mPending.isEmpty()) {
            outcome.apply(mPending.remove(0), mDelayed);
        }
    }

    /** Applies the effect of the oldest call that failed before its effect, if there is one. */
    public void applyOldestDelayed() {
        if (!mDelayed.isEmpty()) {
            mDelayed.remove(0).applyWithoutResponse();
        }
    }

    /** Completes all pending calls normally, including those that are issued as a result. */
    public void resolveAll() {
        while (hasPending()) {
            resolveOldest(CallOutcome.ANSWER);
        }
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        return enqueue(() -> mTable.read(name));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        return enqueue(() -> mTable.write(name, expectedVersion, content));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String name, long above, Duration wait) {
        return read(name);
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        return enqueue(() -> mTable.list(prefix));
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        return enqueue(
                () -> {
                    mTable.delete(name);
                    return null;
                });
    }

    private <T> CompletableFuture<T> enqueue(Supplier<T> effect) {
        Call<T> call = new Call<>(effect, new CompletableFuture<>());
        mPending.add(call);
        return call.mResult;
    }

    /** Outcomes of a call. The order of the constants matters: tests select one by its index. */
    public enum CallOutcome {
        ANSWER {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                call.respond();
            }
        },
        LOSE_ANSWER {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                call.applyWithoutResponse();
                call.fail();
            }
        },
        EFFECT_AFTER_FAILURE {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                delayed.add(call);
                call.fail();
            }
        },
        NO_EFFECT {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                call.fail();
            }
        };

        abstract void apply(Call<?> call, List<Call<?>> delayed);
    }

    private static final class Call<T> {
        private final Supplier<T> mEffect;
        private final CompletableFuture<T> mResult;

        Call(Supplier<T> effect, CompletableFuture<T> result) {
            mEffect = effect;
            mResult = result;
        }

        void respond() {
            try {
                mResult.complete(mEffect.get());
            } catch (VersionConflictException e) {
                mResult.completeExceptionally(e);
            }
        }

        void applyWithoutResponse() {
            try {
                mEffect.get();
            } catch (VersionConflictException e) {
                mResult.isDone();
            }
        }

        void fail() {
            mResult.completeExceptionally(new StoreUnavailableException("no answer"));
        }
    }
}
