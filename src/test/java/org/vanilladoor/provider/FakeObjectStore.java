package org.vanilladoor.provider;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanilladoor.standin.ObjectTable;

/** An object API whose calls wait until a test decides what becomes of them. */
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

    /** Decides about the oldest waiting call. */
    public void resolveOldest(FakeObjectStore.CallOutcome fate) {
        if (!mPending.isEmpty()) {
            fate.apply(mPending.remove(0), mDelayed);
        }
    }

    /** Lets the effect of a call that was given up take place now. */
    public void applyOldestDelayed() {
        if (!mDelayed.isEmpty()) {
            mDelayed.remove(0).applyOnly();
        }
    }

    /** Answers every waiting call, and those that follow from it. */
    public void resolveAll() {
        while (hasPending()) {
            resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
        }
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        return call(() -> mTable.read(name));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        return call(() -> mTable.write(name, expectedVersion, content));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String name, long above, Duration wait) {
        return read(name);
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        return call(() -> mTable.list(prefix));
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        return call(
                () -> {
                    mTable.delete(name);
                    return null;
                });
    }

    private <T> CompletableFuture<T> call(Supplier<T> effect) {
        Call<T> call = new Call<>(effect, new CompletableFuture<>());
        mPending.add(call);
        return call.mResult;
    }

    /** What becomes of a call. */
    public enum CallOutcome {
        ANSWER {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                call.answer();
            }
        },
        LOSE_ANSWER {
            @Override
            void apply(Call<?> call, List<Call<?>> delayed) {
                call.applyOnly();
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

        void answer() {
            try {
                mResult.complete(mEffect.get());
            } catch (VersionConflictException e) {
                mResult.completeExceptionally(e);
            }
        }

        void applyOnly() {
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
