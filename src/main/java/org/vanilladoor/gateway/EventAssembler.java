package org.vanilladoor.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream at the ends of events.
 *
 * <p>Invariant: only whole events come out, in order and byte for byte. Belongs to the control
 * thread.
 */
final class EventAssembler {
    private static final String IDENTIFIER_FIELD = "id:";
    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private Optional<String> mLastIdentifier = Optional.empty();

    private EventAssembler() {}

    static EventAssembler create() {
        return new EventAssembler();
    }

    /** Takes in bytes and returns the events that are whole now, or an empty array. */
    byte[] add(byte[] bytes) {
        mPartial.writeBytes(bytes);
        byte[] all = mPartial.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        mPartial.reset();
        mPartial.write(all, end, all.length - end);
        byte[] whole = Arrays.copyOf(all, end);
        noteIdentifiers(whole);
        return whole;
    }

    /** Forgets the part of an event that its endpoint did not end. */
    void dropPartial() {
        mPartial.reset();
    }

    /** Returns whether the bytes so far end with a whole event. */
    boolean endsWithWholeEvent() {
        return mPartial.size() == 0;
    }

    /** Returns the identifier of the last whole event that had one. */
    Optional<String> lastIdentifier() {
        return mLastIdentifier;
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length; index > 1; index--) {
            if (bytes[index - 1] == '\n' && endsLine(bytes, index - 1)) {
                return index;
            }
        }
        return 0;
    }

    /** Returns whether the line feed at the index ends an empty line. */
    private static boolean endsLine(byte[] bytes, int index) {
        int before = bytes[index - 1] == '\r' ? index - 2 : index - 1;
        return before >= 0 && bytes[before] == '\n';
    }

    private void noteIdentifiers(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int start = text.startsWith(IDENTIFIER_FIELD) ? 0 : -1;
        int found = text.lastIndexOf('\n' + IDENTIFIER_FIELD);
        int at = found >= 0 ? found + 1 : start;
        if (at >= 0) {
            int from = at + IDENTIFIER_FIELD.length();
            int to = text.indexOf('\n', from);
            mLastIdentifier = Optional.of(text.substring(from, to).strip());
        }
    }
}
