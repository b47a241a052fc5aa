package org.vanilladoor.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.function.LongPredicate;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Decorates the input of a parser and limits the size of a whole head; HttpCore limits only the
 * length of a line and the number of lines.
 *
 * <p>Invariant: a line of a response is passed on only as {@link LineAssembler} accepts it.
 * Confined to the I/O thread.
 */
final class HeadInput implements SessionInputBuffer {
    /** Maximum size of a head; those of callers and endpoints have less than a kilobyte. */
    static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

    private static final int LINE_END_BYTES = 2;

    /** About what HttpCore allocates for a line beside its characters of two bytes each. */
    private static final int LINE_OBJECT_BYTES = 256;

    private static final int CHARACTER_BYTES = 2;
    private final LineReader mLineReader;
    private final LongPredicate mRoom;
    private SessionInputBuffer mBuffer;
    private int mHeadBytes;
    private int mLines;

    private HeadInput(LineReader lineReader, LongPredicate room) {
        mLineReader = lineReader;
        mRoom = room;
    }

    /** Returns an input that accepts only lines that a head of a response may contain. */
    static HeadInput ofResponses() {
        LineAssembler line = LineAssembler.ofHead(MAXIMUM_HEAD_BYTES);
        return new HeadInput(
                (buffer, target, endOfStream) -> readLine(buffer, line, target), bytes -> true);
    }

    /**
     * Returns an input of requests that charges what a head takes.
     *
     * @param room whether a head may take that many bytes
     */
    static HeadInput ofRequests(LongPredicate room) {
        return new HeadInput(SessionInputBuffer::readLine, room);
    }

    /** Returns this object, which reads from the given buffer from now on. */
    HeadInput of(SessionInputBuffer buffer) {
        mBuffer = buffer;
        return this;
    }

    /** Begins a further head. */
    void reset() {
        mHeadBytes = 0;
        mLines = 0;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        int lengthBefore = line.length();
        boolean isComplete = mLineReader.readLine(mBuffer, line, endOfStream);
        mHeadBytes += line.length() - lengthBefore + (isComplete ? LINE_END_BYTES : 0);
        if (mHeadBytes > MAXIMUM_HEAD_BYTES) {
            throw new MessageConstraintException("the head is too large");
        }
        if (isComplete) {
            mLines++;
        }
        if (line.length() > lengthBefore && !mRoom.test(heldBytes())) {
            throw new ConnectionClosedException("there is no memory for the head");
        }
        return isComplete;
    }

    private static boolean readLine(
            SessionInputBuffer buffer, LineAssembler line, CharArrayBuffer target)
            throws IOException {
        while (buffer.hasData()) {
            if (line.add(buffer.read() & 0xFF)) {
                target.append(line.take());
                return true;
            }
        }
        return false;
    }

    private long heldBytes() {
        return CHARACTER_BYTES * (long) mHeadBytes + LINE_OBJECT_BYTES * (long) mLines;
    }

    @Override
    public int length() {
        return mBuffer.length();
    }

    @Override
    public boolean hasData() {
        return mBuffer.hasData();
    }

    @Override
    public int fill(ReadableByteChannel channel) throws IOException {
        return mBuffer.fill(channel);
    }

    @Override
    public int read() {
        return mBuffer.read();
    }

    @Override
    public int read(ByteBuffer target, int maximumLength) {
        return mBuffer.read(target, maximumLength);
    }

    @Override
    public int read(ByteBuffer target) {
        return mBuffer.read(target);
    }

    @Override
    public int read(WritableByteChannel target, int maximumLength) throws IOException {
        return mBuffer.read(target, maximumLength);
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return mBuffer.read(target);
    }

    /** Reads a line, as far as it has arrived. */
    private interface LineReader {
        /** Appends a line that is complete to the target, and returns whether it is. */
        boolean readLine(SessionInputBuffer buffer, CharArrayBuffer target, boolean endOfStream)
                throws IOException;
    }
}
