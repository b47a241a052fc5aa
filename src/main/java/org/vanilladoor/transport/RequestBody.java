package org.vanilladoor.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.PieceBuffer;

/**
 * The body of a caller's request while it arrives.
 *
 * <p>Invariants: its bytes are charged to the budget before they are kept; once it is rejected,
 * none of them is. Not safe for use by several threads at the same time.
 */
final class RequestBody {
    /** Bytes that a caller may send after its body was rejected. */
    private static final long MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024;

    private final int mMaximumBytes;
    private final MemoryBudget.Account mAccount;
    private final PieceBuffer mContent = PieceBuffer.create();
    private Optional<BodyRejection> mRejection = Optional.empty();
    private long mDiscardedBytes;

    private RequestBody(int maximumBytes, MemoryBudget.Account account) {
        mMaximumBytes = maximumBytes;
        mAccount = account;
    }

    static RequestBody create(int maximumBytes, MemoryBudget memory) {
        return new RequestBody(maximumBytes, memory.open(MemoryBudget.Use.REQUEST_BODY));
    }

    /** Rejects the body if the length that its head states is too large. */
    void announce(long length) {
        if (length > mMaximumBytes) {
            reject(BodyRejection.TOO_LARGE);
        }
    }

    /** Keeps the bytes, or rejects the body and discards them. */
    void add(ByteBuffer source) {
        int count = source.remaining();
        if (mRejection.isEmpty() && mContent.size() + count > mMaximumBytes) {
            reject(BodyRejection.TOO_LARGE);
        } else if (mRejection.isEmpty() && !mAccount.tryResize(mContent.size() + count)) {
            reject(BodyRejection.NO_MEMORY);
        }
        if (mRejection.isPresent()) {
            mDiscardedBytes += count;
            source.position(source.limit());
            return;
        }
        byte[] bytes = new byte[count];
        source.get(bytes);
        mContent.add(bytes);
    }

    Optional<BodyRejection> rejection() {
        return mRejection;
    }

    /** Returns whether so much has been discarded that the body may have no end. */
    boolean mayBeEndless() {
        return mDiscardedBytes > MAXIMUM_DISCARDED_BYTES;
    }

    /** Returns the body, which is empty if it was rejected. */
    byte[] toByteArray() {
        return mContent.toByteArray();
    }

    /** Gives the memory back; the content must no longer be used. */
    void release() {
        mAccount.close();
    }

    private void reject(BodyRejection rejection) {
        mRejection = Optional.of(rejection);
        mContent.clear();
        mAccount.close();
    }
}
