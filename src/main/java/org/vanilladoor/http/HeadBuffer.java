package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.vanilladoor.transport.LineAssembler;

/**
 * The input of one head; HttpCore limits only the length of a line and the number of lines.
 *
 * <p>Invariants: the size of the head is bounded; a line of a response is passed on only as {@link
 * LineAssembler} accepts it. Confined to the thread of its connection.
 */
final class HeadBuffer implements SessionInputBuffer {
    /** Twice the size that callers are allowed, so that none of them reaches it. */
    private static final int MAXIMUM_REQUEST_HEAD_BYTES = 32 * 1024;

    private static final int MAXIMUM_RESPONSE_HEAD_BYTES = 64 * 1024;

    private final SessionInputBuffer mBuffer;
    private final LineReader mLineReader;
    private final int mMaximumBytes;
    private int mBytes;

    private HeadBuffer(SessionInputBuffer buffer, LineReader lineReader, int maximumBytes) {
        mBuffer = buffer;
        mLineReader = lineReader;
        mMaximumBytes = maximumBytes;
    }

    static HeadBuffer ofRequest(SessionInputBuffer buffer) {
        return new HeadBuffer(buffer, buffer::readLine, MAXIMUM_REQUEST_HEAD_BYTES);
    }

    /** Returns an input that accepts only lines that a head of a response may contain. */
    static HeadBuffer ofResponse(SessionInputBuffer buffer) {
        LineAssembler assembler = LineAssembler.ofHead(MAXIMUM_RESPONSE_HEAD_BYTES);
        return new HeadBuffer(
                buffer,
                (line, input) -> readLine(buffer, assembler, line, input),
                MAXIMUM_RESPONSE_HEAD_BYTES);
    }

    private static int readLine(
            SessionInputBuffer buffer,
            LineAssembler assembler,
            CharArrayBuffer target,
            InputStream input)
            throws IOException {
        int next;
        do {
            next = buffer.read(input);
            if (next < 0) {
                return next;
            }
        } while (!assembler.add(next));
        String line = assembler.take();
        target.append(line);
        return line.length();
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream input) throws IOException {
        int count = mLineReader.readLine(line, input);
        mBytes += Math.max(0, count);
        if (mBytes > mMaximumBytes) {
            throw new MessageConstraintException("the head is too large");
        }
        return count;
    }

    @Override
    public int length() {
        return mBuffer.length();
    }

    @Override
    public int capacity() {
        return mBuffer.capacity();
    }

    @Override
    public int available() {
        return mBuffer.available();
    }

    @Override
    public int read(byte[] target, int offset, int length, InputStream input) throws IOException {
        return mBuffer.read(target, offset, length, input);
    }

    @Override
    public int read(byte[] target, InputStream input) throws IOException {
        return mBuffer.read(target, input);
    }

    @Override
    public int read(InputStream input) throws IOException {
        return mBuffer.read(input);
    }

    @Override
    public HttpTransportMetrics getMetrics() {
        return mBuffer.getMetrics();
    }

    /** Reads a whole line. */
    private interface LineReader {
        /** Appends a line and returns its length, or -1 if the input has ended. */
        int readLine(CharArrayBuffer line, InputStream input) throws IOException;
    }
}
