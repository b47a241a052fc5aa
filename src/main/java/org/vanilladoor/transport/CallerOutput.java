package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.vanilladoor.common.MemoryBudget;

/**
 * The part of a response that its caller has not read.
 *
 * <p>Invariant: its bytes are charged to the budget. Not safe for use by several threads at the
 * same time; its exchange guards it.
 */
final class CallerOutput {
    /** Unread output from which on no more should be written. */
    private static final int BACKLOG_BYTES = 64 * 1024;

    /** Output passed to a socket at once; the JDK copies all that it is given, read or not. */
    private static final int MAXIMUM_WRITE_BYTES = 64 * 1024;

    private final MemoryBudget.Account mAccount;
    private final Deque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private int mBytes;

    private CallerOutput(MemoryBudget.Account account) {
        mAccount = account;
    }

    static CallerOutput create(MemoryBudget memory) {
        return new CallerOutput(memory.open(MemoryBudget.Use.RESPONSE_OUTPUT));
    }

    void add(ByteBuffer content) {
        if (content.hasRemaining()) {
            mUnsent.add(content);
            setBytes(mBytes + content.remaining());
        }
    }

    int bytes() {
        return mBytes;
    }

    boolean isBacklogged() {
        return mBytes > BACKLOG_BYTES;
    }

    /** Writes what the connection takes. */
    void writeTo(DataStreamChannel channel) throws IOException {
        while (!mUnsent.isEmpty()) {
            ByteBuffer next = mUnsent.peek();
            int count = Math.min(next.remaining(), MAXIMUM_WRITE_BYTES);
            ByteBuffer part = next.slice(next.position(), count);
            channel.write(part);
            next.position(next.position() + part.position());
            setBytes(mBytes - part.position());
            if (part.hasRemaining()) {
                return;
            }
            if (!next.hasRemaining()) {
                mUnsent.poll();
            }
        }
    }

    void clear() {
        mUnsent.clear();
        setBytes(0);
    }

    /** Gives the memory back; nothing more may be added. */
    void release() {
        mAccount.close();
    }

    private void setBytes(int bytes) {
        mBytes = bytes;
        mAccount.resize(bytes);
    }
}
