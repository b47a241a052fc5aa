package org.vanilladoor.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Buffers the bytes of a server-sent event stream and releases them in complete events.
 *
 * <p>Invariant: only complete events are returned, in order and byte for byte; once a run has sent
 * one that does not follow the last, none of its events is. Confined to the control thread.
 */
final class EventAssembler {
    private static final String IDENTIFIER_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    /** The start of an event, which contains no end of one. */
    private byte[] mPartial = new byte[0];

    private int mPartialBytes;
    private final EventSequence mSequence;
    private boolean mOutOfOrder;
    private int mAcceptedEvents;

    private EventAssembler(EventSequence sequence) {
        mSequence = sequence;
    }

    /**
     * Returns an assembler without events.
     *
     * @param before identifier of the last event that the caller has from an earlier response
     */
    static EventAssembler after(Optional<String> before) {
        return new EventAssembler(EventSequence.after(before));
    }

    /** Adds bytes and returns the events that are now complete, or an empty array. */
    byte[] add(byte[] bytes) {
        if (mOutOfOrder) {
            return new byte[0];
        }
        int scanStart = Math.max(1, mPartialBytes);
        append(bytes);
        int end = endOfAcceptedEvents(scanStart);
        byte[] events = Arrays.copyOf(mPartial, end);
        if (mOutOfOrder) {
            discardPartial();
        } else if (end > 0) {
            mPartialBytes -= end;
            mPartial = Arrays.copyOfRange(mPartial, end, end + mPartialBytes);
        }
        return events;
    }

    private void append(byte[] bytes) {
        int size = mPartialBytes + bytes.length;
        if (size > mPartial.length) {
            mPartial = Arrays.copyOf(mPartial, Math.max(size, 2 * mPartialBytes));
        }
        System.arraycopy(bytes, 0, mPartial, mPartialBytes, bytes.length);
        mPartialBytes = size;
    }

    private void discardPartial() {
        mPartial = new byte[0];
        mPartialBytes = 0;
    }

    /** Begins a further run and discards the start of an event that the last one left behind. */
    void startRun() {
        discardPartial();
        mOutOfOrder = false;
        mSequence.startRun();
    }

    /** Returns the size of the event that has begun but is not complete. */
    int partialBytes() {
        return mPartialBytes;
    }

    /** Returns whether the bytes added so far end at the end of an event. */
    boolean endsAtEventBoundary() {
        return mPartialBytes == 0;
    }

    /** Returns whether the run has sent an event that does not follow the last one. */
    boolean isOutOfOrder() {
        return mOutOfOrder;
    }

    /** Returns the number of complete events with data so far, over all runs. */
    int acceptedEvents() {
        return mAcceptedEvents;
    }

    /** Returns whether another run can go on after the last event. */
    boolean isResumable() {
        return mSequence.isResumable();
    }

    /** Returns the identifier of the last complete event that had one. */
    Optional<String> lastIdentifier() {
        return mSequence.lastIdentifier();
    }

    private int endOfAcceptedEvents(int scanStart) {
        int start = 0;
        for (int index = scanStart; index < mPartialBytes; index++) {
            if (mPartial[index] != '\n' || !endsEmptyLine(mPartial, index)) {
                continue;
            }
            String event = new String(mPartial, start, index + 1 - start, StandardCharsets.UTF_8);
            if (!tryAccept(event)) {
                mOutOfOrder = true;
                return start;
            }
            start = index + 1;
        }
        return start;
    }

    private boolean tryAccept(String event) {
        Optional<String> identifier = Optional.empty();
        boolean hasData = false;
        for (String line : event.split("\n")) {
            hasData |= line.startsWith(DATA_FIELD);
            if (line.startsWith(IDENTIFIER_FIELD)) {
                identifier = Optional.of(line.substring(IDENTIFIER_FIELD.length()).strip());
            }
        }
        mAcceptedEvents += hasData ? 1 : 0;
        if (identifier.filter(value -> !value.isEmpty()).isPresent()) {
            return mSequence.tryAccept(identifier.get());
        }
        if (hasData) {
            mSequence.acceptUnidentified();
        }
        return true;
    }

    /** Returns whether the line feed at the index terminates an empty line. */
    private static boolean endsEmptyLine(byte[] bytes, int index) {
        int previousLineEnd = bytes[index - 1] == '\r' ? index - 2 : index - 1;
        return previousLineEnd >= 0 && bytes[previousLineEnd] == '\n';
    }
}
