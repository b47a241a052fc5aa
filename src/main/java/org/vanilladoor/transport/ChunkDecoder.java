package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.AbstractContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Decodes a body in chunks exactly as RFC 9112, section 7.1, defines them.
 *
 * <p>HttpCore's decoder also accepts signed and padded sizes, lines without a carriage return and
 * the end of the connection inside a size, which other programs delimit differently. Invariants:
 * only the last chunk and its trailers complete the body; the memory for lines, and the time for
 * chunks with hardly any content, are bounded. Trailers are checked and discarded. Confined to the
 * I/O thread.
 */
final class ChunkDecoder extends AbstractContentDecoder {
    private static final int HEXADECIMAL = 16;

    /** Length of the ends of the two lines that enclose a chunk. */
    private static final int LINE_ENDS_BYTES = 4;

    /** Sizes and extensions beyond this must not be longer than the content by the factor. */
    private static final long FREE_FRAMING_BYTES = 64 * 1024;

    private static final long MAXIMUM_FRAMING_FACTOR = 4;

    /** A size with optional extensions; 15 digits fit into a long. */
    private static final Pattern SIZE_LINE =
            Pattern.compile("([0-9A-Fa-f]{1,15})([ \\t]*;[\\t\\x20-\\x7E\\x80-\\xFF]*)?");

    private static final Pattern TRAILER_LINE =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7E\\x80-\\xFF]*");

    private final int mMaximumLineBytes;
    private final LineAssembler mLine;
    private Position mPosition = Position.SIZE;
    private long mRemainingBytes;
    private long mContentBytes;
    private long mFramingBytes;
    private int mTrailerBytes;

    private ChunkDecoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            int maximumLineBytes) {
        super(channel, buffer, metrics);
        mMaximumLineBytes = maximumLineBytes;
        mLine = LineAssembler.create(maximumLineBytes, MalformedChunkCodingException::new);
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
        while (!isCompleted() && (mPosition != Position.DATA || target.hasRemaining())) {
            if (!buffer().hasData()) {
                // One read, so that other connections have their turn.
                if (hasFilled || !fill()) {
                    return count;
                }
                hasFilled = true;
            }
            if (mPosition == Position.DATA) {
                count += readData(target);
            } else if (readLine()) {
                endLine(mLine.take());
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

    private int readData(ByteBuffer target) {
        int count = buffer().read(target, (int) Math.min(mRemainingBytes, target.remaining()));
        mRemainingBytes -= count;
        mContentBytes += count;
        if (mRemainingBytes == 0) {
            mPosition = Position.DATA_END;
        }
        return count;
    }

    /** Reads up to the end of a line, and returns whether that has arrived. */
    private boolean readLine() throws IOException {
        while (buffer().hasData()) {
            if (mLine.add(buffer().read() & 0xFF)) {
                return true;
            }
        }
        return false;
    }

    private void endLine(String line) throws MalformedChunkCodingException {
        switch (mPosition) {
            case SIZE -> beginChunk(line);
            case DATA_END -> endChunk(line);
            default -> endTrailer(line);
        }
    }

    private void beginChunk(String line) throws MalformedChunkCodingException {
        Matcher matcher = SIZE_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedChunkCodingException("invalid size of a chunk");
        }
        mFramingBytes += line.length() + LINE_ENDS_BYTES;
        if (mFramingBytes > FREE_FRAMING_BYTES + MAXIMUM_FRAMING_FACTOR * mContentBytes) {
            throw new MalformedChunkCodingException("the chunks have hardly any content");
        }
        mRemainingBytes = Long.parseLong(matcher.group(1), HEXADECIMAL);
        mPosition = mRemainingBytes == 0 ? Position.TRAILERS : Position.DATA;
    }

    private void endChunk(String line) throws MalformedChunkCodingException {
        if (!line.isEmpty()) {
            throw new MalformedChunkCodingException("a chunk is longer than its size");
        }
        mPosition = Position.SIZE;
    }

    private void endTrailer(String line) throws MalformedChunkCodingException {
        if (line.isEmpty()) {
            setCompleted();
            return;
        }
        mTrailerBytes += line.length();
        if (mTrailerBytes > mMaximumLineBytes || !TRAILER_LINE.matcher(line).matches()) {
            throw new MalformedChunkCodingException("invalid trailer");
        }
    }

    /** What comes next. */
    private enum Position {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS
    }
}
