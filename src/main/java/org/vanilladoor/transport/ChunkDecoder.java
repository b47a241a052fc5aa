package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.AbstractContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Decodes a body in chunks as {@link ChunkFraming} accepts them.
 *
 * <p>HttpCore's decoder also accepts the end of the connection inside a size. Confined to the I/O
 * thread.
 */
final class ChunkDecoder extends AbstractContentDecoder {
    private final ChunkFraming mFraming;

    private ChunkDecoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            int maximumLineBytes) {
        super(channel, buffer, metrics);
        mFraming = ChunkFraming.create(maximumLineBytes);
    }

    /**
     * Returns a decoder of one body.
     *
     * @param maximumLineBytes maximum length of a chunk's size with its extensions, and of all
     *     trailers together
     */
    static ChunkDecoder create(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            int maximumLineBytes) {
        return new ChunkDecoder(channel, buffer, metrics, maximumLineBytes);
    }

    /**
     * Reads content as far as it has arrived.
     *
     * @return the number of bytes read, or -1 if the body is complete
     * @throws MalformedChunkCodingException if the chunks are not valid
     * @throws ConnectionClosedException if the connection ends before the body
     */
    @Override
    public int read(ByteBuffer target) throws IOException {
        int count = 0;
        // HttpCore reads beyond the window of a response as long as input is left in the buffer.
        boolean hasFilled = buffer().hasData();
        while (!isCompleted() && (mFraming.nextContentBytes() == 0 || target.hasRemaining())) {
            if (!buffer().hasData()) {
                // One read, so that other connections have their turn.
                if (hasFilled || !fill()) {
                    return count;
                }
                hasFilled = true;
            }
            if (mFraming.nextContentBytes() > 0) {
                count += readContent(target);
            } else {
                readFraming();
            }
        }
        return isCompleted() && count == 0 ? -1 : count;
    }

    /** Returns whether input has arrived. */
    private boolean fill() throws IOException {
        int count = fillBufferFromChannel();
        if (count < 0) {
            throw new ConnectionClosedException("the connection was closed inside a body");
        }
        return count > 0;
    }

    private int readContent(ByteBuffer target) {
        int maximum = (int) Math.min(mFraming.nextContentBytes(), target.remaining());
        int count = buffer().read(target, maximum);
        mFraming.recordContent(count);
        return count;
    }

    /** Reads the framing up to content or the end of the body, as far as it has arrived. */
    private void readFraming() throws IOException {
        while (buffer().hasData() && mFraming.nextContentBytes() == 0 && !isCompleted()) {
            mFraming.add(buffer().read() & 0xFF);
            if (mFraming.isComplete()) {
                setCompleted();
            }
        }
    }
}
