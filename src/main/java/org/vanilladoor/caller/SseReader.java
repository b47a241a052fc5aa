package org.vanilladoor.caller;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.vanilladoor.http.HttpClientResponse;

/**
 * Reads complete server-sent events from an engine's stream.
 *
 * <p>Invariant: an event is returned only after its closing blank line was read, and the end of the
 * stream is reported only after the end marker {@code [DONE]}. Used by one thread.
 */
final class SseReader {
    private static final int BUFFER_BYTES = 8_192;
    private static final int MAXIMUM_EVENT_BYTES = 1_048_576;
    private static final String END_MARKER = "data: [DONE]";
    private final HttpClientResponse mResponse;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private int mPosition;
    private int mLimit;

    private SseReader(HttpClientResponse response) {
        mResponse = response;
    }

    static SseReader of(HttpClientResponse response) {
        return new SseReader(response);
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
            int current = readByte();
            event.write(current);
            if (current == '\n' && previous == '\n') {
                return isEndMarker(event) ? requireStreamEnd() : Optional.of(event.toByteArray());
            }
            if (event.size() > MAXIMUM_EVENT_BYTES) {
                throw new IOException("event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
            }
            if (current != '\r') {
                previous = current;
            }
        }
    }

    /** Returns whether more bytes can be read without blocking. */
    boolean hasBuffered() {
        return mPosition < mLimit;
    }

    private Optional<byte[]> requireStreamEnd() throws IOException {
        if (mResponse.read(mBuffer) >= 0) {
            throw new IOException("stream continues after its end marker");
        }
        return Optional.empty();
    }

    private int readByte() throws IOException {
        if (mPosition == mLimit) {
            mLimit = mResponse.read(mBuffer);
            mPosition = 0;
            if (mLimit < 0) {
                mLimit = 0;
                throw new EOFException("stream ended before its end marker");
            }
        }
        return mBuffer[mPosition++];
    }

    private static boolean isEndMarker(ByteArrayOutputStream event) {
        return event.size() <= END_MARKER.length() + 4
                && event.toString(StandardCharsets.UTF_8).trim().equals(END_MARKER);
    }
}
