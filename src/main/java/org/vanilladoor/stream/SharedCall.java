package org.vanilladoor.stream;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A call whose result several requesters share.
 *
 * <p>Invariants: at most one call is open; calls begin no faster than their pace; a requester gets
 * the result of a call that began after its request. Confined to the control thread.
 *
 * @param <T> type of the result
 */
final class SharedCall<T> {
    private final Supplier<CompletableFuture<T>> mCall;
    private final CallPace mPace;
    private final LongSupplier mClock;
    private Optional<CompletableFuture<T>> mNext = Optional.empty();
    private boolean mOpen;
    private OptionalLong mLastMillis = OptionalLong.empty();

    private SharedCall(Supplier<CompletableFuture<T>> call, CallPace pace, LongSupplier clock) {
        mCall = call;
        mPace = pace;
        mClock = clock;
    }

    static <T> SharedCall<T> create(
            Supplier<CompletableFuture<T>> call, CallPace pace, LongSupplier clock) {
        return new SharedCall<>(call, pace, clock);
    }

    /** Returns the result of the next call. */
    CompletableFuture<T> request() {
        CompletableFuture<T> result = mNext.orElseGet(CompletableFuture::new);
        mNext = Optional.of(result);
        tick();
        return result;
    }

    /** Begins a call if one is requested and due. */
    void tick() {
        long nowMillis = mClock.getAsLong();
        if (mOpen || mNext.isEmpty() || !mPace.allows(mLastMillis, nowMillis)) {
            return;
        }
        CompletableFuture<T> result = mNext.get();
        mNext = Optional.empty();
        mOpen = true;
        mLastMillis = OptionalLong.of(nowMillis);
        mCall.get()
                .whenComplete(
                        (value, failure) -> {
                            mOpen = false;
                            if (failure == null) {
                                result.complete(value);
                            } else {
                                result.completeExceptionally(failure);
                            }
                            tick();
                        });
    }
}
