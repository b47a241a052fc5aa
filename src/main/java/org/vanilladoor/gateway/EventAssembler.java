package org.vanilladoor.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Buffers the bytes of a server-sent event stream and releases them in complete events.
 *
 * <p>Invariant: only complete events are returned, in order and byte for byte. Confined to the
 * control thread.
 */
final class EventAssembler {
    private static final String IDENTIFIER_FIELD = "id:";
    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private Optional<String> mLastIdentifier = Optional.empty();

    private EventAssembler() {}

    static EventAssembler create() {
        return new EventAssembler();
    }

    /** Adds bytes and returns the events that are now complete, or an empty array. */
    byte[] add(byte[] bytes) {
        mPartial.writeBytes(bytes);
        byte[] buffered = mPartial.toByteArray();
        int endOfEvents = endOfLastEvent(buffered);
        if (endOfEvents == 0) {
            return new byte[0];
        }
        mPartial.reset();
        mPartial.write(buffered, endOfEvents, buffered.length - endOfEvents);
        byte[] completeEvents = Arrays.copyOf(buffered, endOfEvents);
        updateLastIdentifier(completeEvents);
        return completeEvents;
    }

    /** Discards the buffered start of an event that the endpoint did not complete. */
    void discardPartialEvent() {
        mPartial.reset();
    }

    /** Returns the size of the event that has begun but is not complete. */
    int partialBytes() {
        return mPartial.size();
    }

    /** Returns whether the bytes added so far end at the end of an event. */
    boolean endsAtEventBoundary() {
        return mPartial.size() == 0;
    }

    /** Returns the identifier of the last complete event that had one. */
    Optional<String> lastIdentifier() {
        return mLastIdentifier;
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length; index > 1; index--) {
            if (bytes[index - 1] == '\n' && endsEmptyLine(bytes, index - 1)) {
                return index;
            }
        }
        return 0;
    }

    /** Returns whether the line feed at the index terminates an empty line. */
    private static boolean endsEmptyLine(byte[] bytes, int index) {
        int previousLineEnd = bytes[index - 1] == '\r' ? index - 2 : index - 1;
        return previousLineEnd >= 0 && bytes[previousLineEnd] == '\n';
    }

    private void updateLastIdentifier(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int initialField = text.startsWith(IDENTIFIER_FIELD) ? 0 : -1;
        int lastLineBreak = text.lastIndexOf('\n' + IDENTIFIER_FIELD);
        int fieldStart = lastLineBreak >= 0 ? lastLineBreak + 1 : initialField;
        if (fieldStart >= 0) {
            int valueStart = fieldStart + IDENTIFIER_FIELD.length();
            int valueEnd = text.indexOf('\n', valueStart);
            mLastIdentifier = Optional.of(text.substring(valueStart, valueEnd).strip());
        }
    }
}
