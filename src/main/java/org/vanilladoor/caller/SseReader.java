package org.vanilladoor.caller;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.vanilladoor.http.HttpClientResponse;

/**
 * Reads the events of an engine's stream, whole ones only.
 *
 * <p>Invariant: an event is returned only once its end has been read, and the end of the stream
 * only after its end marker. Used by one thread.
 */
final class SseReader {
    private static final int BUFFER_BYTES = 8_192;
    private static final int MAXIMUM_EVENT_BYTES = 1_048_576;
    private static final String END_MARKER = "data: [DONE]";
    private final HttpClientResponse mReply;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private int mPosition;
    private int mLimit;

    private SseReader(HttpClientResponse reply) {
        mReply = reply;
    }

    static SseReader of(HttpClientResponse reply) {
        return new SseReader(reply);
    }

    /**
     * Returns the next event with its closing blank line, or empty after the end marker.
     *
     * @throws IOException if the stream ends before its end marker
     */
    Optional<byte[]> next() throws IOException {
        ByteArrayOutputStream event = new ByteArrayOutputStream();
        int previous = -1;
        while (true) {
            int current = read();
            event.write(current);
            if (current == '\n' && previous == '\n') {
                return endMarked(event) ? finished() : Optional.of(event.toByteArray());
            }
            if (event.size() > MAXIMUM_EVENT_BYTES) {
                throw new IOException("event is over " + MAXIMUM_EVENT_BYTES + " bytes");
            }
            if (current != '\r') {
                previous = current;
            }
        }
    }

    /** Returns whether more bytes can be had without waiting. */
    boolean hasBuffered() {
        return mPosition < mLimit;
    }

    private Optional<byte[]> finished() throws IOException {
        if (mReply.read(mBuffer) >= 0) {
            throw new IOException("stream goes on after its end marker");
        }
        return Optional.empty();
    }

    private int read() throws IOException {
        if (mPosition == mLimit) {
            mLimit = mReply.read(mBuffer);
            mPosition = 0;
            if (mLimit < 0) {
                mLimit = 0;
                throw new EOFException("stream ends before its end marker");
            }
        }
        return mBuffer[mPosition++];
    }

    private static boolean endMarked(ByteArrayOutputStream event) {
        return event.size() <= END_MARKER.length() + 4
                && event.toString(StandardCharsets.UTF_8).trim().equals(END_MARKER);
    }
}
