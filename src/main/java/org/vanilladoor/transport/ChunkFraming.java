package org.vanilladoor.transport;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.MalformedChunkCodingException;

/**
 * The framing of a body in chunks, exactly as RFC 9112, section 7.1, defines it: sizes, the ends of
 * chunks, and trailers.
 *
 * <p>HttpCore's decoders also accept signed and padded sizes, lines without a carriage return and
 * any trailers, which other programs delimit differently. Invariants: only the last chunk and its
 * trailers complete the body; the memory for lines, and the time for chunks with hardly any
 * content, are bounded. Trailers are checked and discarded. Confined to one thread.
 */
public final class ChunkFraming {
    private static final int HEXADECIMAL = 16;

    /** Length of the ends of the two lines that enclose a chunk. */
    private static final int LINE_ENDS_BYTES = 4;

    /** Sizes and extensions beyond this must not be longer than the content by the factor. */
    private static final long FREE_FRAMING_BYTES = 64 * 1024;

    private static final long MAXIMUM_FRAMING_FACTOR = 4;

    /** A size with optional extensions; 15 digits fit into a long. */
    private static final Pattern SIZE_LINE =
            Pattern.compile("([0-9A-Fa-f]{1,15})([ \\t]*;[\\t\\x20-\\x7E\\x80-\\xFF]*)?");

    private final int mMaximumLineBytes;
    private final LineAssembler mLine;
    private Position mPosition = Position.SIZE;
    private long mRemainingBytes;
    private long mContentBytes;
    private long mFramingBytes;
    private int mTrailerBytes;

    private ChunkFraming(int maximumLineBytes) {
        mMaximumLineBytes = maximumLineBytes;
        mLine = LineAssembler.create(maximumLineBytes, MalformedChunkCodingException::new);
    }

    /**
     * Returns the framing of a body that begins.
     *
     * @param maximumLineBytes maximum length of a chunk's size with its extensions, and of all
     *     trailers together
     */
    public static ChunkFraming create(int maximumLineBytes) {
        return new ChunkFraming(maximumLineBytes);
    }

    /** Returns whether the body is complete. */
    public boolean isComplete() {
        return mPosition == Position.COMPLETE;
    }

    /** Returns the number of bytes of content that come next; 0 if framing comes next. */
    public long nextContentBytes() {
        return mRemainingBytes;
    }

    /** Records that content was read, at most as much as comes next. */
    public void recordContent(int bytes) {
        mRemainingBytes -= bytes;
        mContentBytes += bytes;
        if (mRemainingBytes == 0) {
            mPosition = Position.DATA_END;
        }
    }

    /**
     * Adds a byte of the framing.
     *
     * @param next the byte, as a number from 0 to 255
     * @throws MalformedChunkCodingException if the framing is not valid
     */
    public void add(int next) throws IOException {
        if (mLine.add(next)) {
            endLine(mLine.take());
        }
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
            mPosition = Position.COMPLETE;
            return;
        }
        mTrailerBytes += line.length();
        if (mTrailerBytes > mMaximumLineBytes || !HeaderLine.isValid(line)) {
            throw new MalformedChunkCodingException("invalid trailer");
        }
    }

    /** What comes next. */
    private enum Position {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        COMPLETE
    }
}
