package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.vanilladoor.transport.ChunkFraming;

/**
 * Reads a body in chunks as {@link ChunkFraming} accepts them.
 *
 * <p>Invariant: the end is returned only for a complete body, provided that the input fails at the
 * end of its connection. Confined to the thread of its connection.
 */
final class ChunkInputStream extends InputStream {
    /** Maximum length of a chunk's size with its extensions, and of all trailers together. */
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

    private final SessionInputBuffer mBuffer;
    private final InputStream mInput;
    private final ChunkFraming mFraming = ChunkFraming.create(MAXIMUM_LINE_BYTES);

    private ChunkInputStream(SessionInputBuffer buffer, InputStream input) {
        mBuffer = buffer;
        mInput = input;
    }

    /**
     * Returns the body that begins at the next byte.
     *
     * @param input fills the buffer; fails at the end of its connection
     */
    static ChunkInputStream of(SessionInputBuffer buffer, InputStream input) {
        return new ChunkInputStream(buffer, input);
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xFF;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        while (mFraming.nextContentBytes() == 0) {
            if (mFraming.isComplete()) {
                return -1;
            }
            mFraming.add(mBuffer.read(mInput));
        }
        int maximum = (int) Math.min(mFraming.nextContentBytes(), length);
        int count = mBuffer.read(target, offset, maximum, mInput);
        mFraming.recordContent(count);
        return count;
    }
}
