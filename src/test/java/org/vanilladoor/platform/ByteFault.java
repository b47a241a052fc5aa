package org.vanilladoor.platform;

import java.util.EnumSet;
import java.util.List;
import org.vanilladoor.platform.FramedResponse.Framing;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.End;

/**
 * What a faulty endpoint does to the bytes of a response on a kept connection.
 *
 * <p>Invariant: a strict reader can tell what was done. Left out, since nothing in the bytes shows
 * them, are: bytes replaced inside a complete frame, also by a wrong length that other bytes fill
 * up; the head of one response with the rest of another; a response without a stated length that
 * ends early with a regular close; and a refusal without an identifier. Immutable.
 */
enum ByteFault {
    NONE,
    CUT_THEN_CLOSE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.cut(response.text()), End.CLOSE);
        }
    },
    CUT_THEN_RESET {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.cut(response.text()), End.RESET);
        }
    },
    CUT_THEN_SILENCE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.cut(response.text()), End.HANG);
        }
    },
    DELAYED_PIECES {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String text = response.text();
            String start = place.cut(text);
            String rest = text.substring(start.length());
            String middle = place.secondCut(rest);
            return Answer.inPieces(
                    List.of(start, middle, rest.substring(middle.length())), End.KEEP);
        }
    },
    REPEAT_IN_THE_SAME_PACKET {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(response.text() + place.cut(earlier), End.KEEP);
        }
    },
    REPEAT_WHILE_IDLE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.inPieces(List.of(response.text(), place.cut(earlier)), End.KEEP);
        }
    },
    REPEAT_BEFORE_THE_RESPONSE(true, null) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.cut(earlier) + response.text(), End.KEEP);
        }
    },
    REPEAT_IN_PIECES_BEFORE_THE_RESPONSE(true, null) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.inPieces(List.of(place.cut(earlier), response.text()), End.KEEP);
        }
    },
    REST_OF_EARLIER_BEFORE_THE_RESPONSE(true, null) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.rest(earlier) + response.text(), End.KEEP);
        }
    },
    REST_OF_EARLIER_WHILE_IDLE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.inPieces(List.of(response.text(), place.rest(earlier)), End.KEEP);
        }
    },
    REPEAT_BETWEEN_CHUNKS(true, Framing.CHUNKED) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String text = response.text();
            String border = "\r\n" + Integer.toHexString(lastPiece(response).length()) + "\r\n";
            int index = text.lastIndexOf(border + lastPiece(response)) + 2;
            return new Answer(
                    text.substring(0, index) + place.cut(earlier) + text.substring(index),
                    End.KEEP);
        }
    },
    /** The earlier response comes first, so that the status of the response stands inside it. */
    MERGED_WITH_EARLIER(true, null) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String text = response.text();
            String start = place.cut(earlier);
            String inserted = place.secondCut(text);
            return new Answer(
                    start
                            + inserted
                            + earlier.substring(start.length())
                            + text.substring(inserted.length()),
                    End.KEEP);
        }
    },
    CUT_IN_THE_HEAD_THEN_EARLIER(true, null) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String head = response.wholeHead();
            return new Answer(place.cut(head.substring(0, head.length() - 2)) + earlier, End.HANG);
        }
    },
    /**
     * Leaves the length as it is, which the rest of the body never reaches. Not for streams, whose
     * events are passed on before.
     */
    HEAD_AND_BODY_SWAPPED(false, Framing.LENGTH) {
        @Override
        boolean appliesTo(FramedResponse response, boolean hasEarlier) {
            return super.appliesTo(response, hasEarlier)
                    && !response.head().contains("text/event-stream");
        }

        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String fields = response.head();
            String start = place.cut(fields.substring(0, fields.length() - 2));
            String rest = response.wholeHead().substring(start.length());
            String moved = place.secondCut(response.body());
            return new Answer(
                    start + moved + rest + response.body().substring(moved.length()), End.HANG);
        }
    },
    NOISE_BEFORE_THE_RESPONSE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.of(NOISES) + response.text(), End.KEEP);
        }
    },
    NOISE_IN_THE_SAME_PACKET {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(response.text() + place.of(NOISES), End.KEEP);
        }
    },
    NOISE_WHILE_IDLE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.inPieces(List.of(response.text(), place.of(NOISES)), End.KEEP);
        }
    },
    ENDLESS_HEAD {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.endless(response.head(), kilobyte(place.of(ENDLESS_FIELDS)));
        }
    },
    ENDLESS_BODY(false, Framing.CHUNKED) {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String text = response.text();
            return Answer.endless(
                    text.substring(0, text.length() - "0\r\n\r\n".length()),
                    "400\r\n" + "x".repeat(1_024) + "\r\n");
        }
    },
    ENDLESS_NOISE_BEHIND_THE_RESPONSE {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.endless(response.text(), kilobyte(place.of(NOISES)));
        }
    },
    ENDLESS_INTERIM_RESPONSES {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return Answer.endless("", kilobyte(INTERIMS.get(0)));
        }
    },
    INTERIM_RESPONSES {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            return new Answer(place.of(INTERIMS) + response.text(), End.KEEP);
        }
    },
    INVALID_BYTE_IN_A_HEADER {
        @Override
        Answer apply(FramedResponse response, String earlier, Place place) {
            String head = response.wholeHead();
            int firstHeader = head.indexOf("\r\n") + 2;
            String start =
                    head.substring(0, firstHeader)
                            // A line feed inside the last line end would only end the head.
                            + place.cut(head.substring(firstHeader, head.length() - 2));
            String rest = response.text().substring(start.length());
            return new Answer(start + place.secondOf(INVALID_BYTES) + rest, End.KEEP);
        }
    };

    /** All but those that were added later, so that a seed goes on choosing the same faults. */
    static final List<ByteFault> CHOSEN_BY_SEEDS =
            List.copyOf(EnumSet.range(NONE, INTERIM_RESPONSES));

    private static final List<String> INVALID_BYTES = List.of("\0", "\n", "\r", "\33", "\177");

    private static final List<String> NOISES =
            List.of(
                    "\0\1\2\377",
                    "\r\n",
                    "\n",
                    " ",
                    "x",
                    "HTTP",
                    "HTTP/1.1 2000 OK\r\n\r\n",
                    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                    "0\r\n\r\n",
                    "no response\r\n",
                    "Name: value\r\n\r\n",
                    "no response ".repeat(900));

    private static final List<String> ENDLESS_FIELDS =
            List.of("A: b\r\n", "x", "\0", "HTTP/1.1 200 OK\r\n");

    private static final List<String> INTERIMS =
            List.of(
                    "HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nVanilladoor-Attempt-Id: another\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nVanilladoor-Not-Run: 1\r\n\r\n",
                    "HTTP/1.1 199 Odd\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");

    private final boolean mNeedsEarlier;
    private final Framing mOnlyFraming;

    ByteFault() {
        this(false, null);
    }

    ByteFault(boolean needsEarlier, Framing onlyFraming) {
        mNeedsEarlier = needsEarlier;
        mOnlyFraming = onlyFraming;
    }

    /** Returns whether this fault can act on a response, and a reader could tell. */
    boolean appliesTo(FramedResponse response, boolean hasEarlier) {
        return this == NONE
                || ((hasEarlier || !mNeedsEarlier)
                        && (mOnlyFraming == null || mOnlyFraming == response.framing())
                        // Bytes behind a frame of a wrong length would fill it up.
                        && response.framing().isSound());
    }

    /** Returns the only framing on which this fault acts, or the given one. */
    Framing framingInsteadOf(Framing framing) {
        return mOnlyFraming == null || framing.isForNoBody() ? framing : mOnlyFraming;
    }

    /** Returns whether a response with this fault never ends as stated. */
    boolean isEndless() {
        return this == ENDLESS_BODY || this == ENDLESS_INTERIM_RESPONSES || this == ENDLESS_HEAD;
    }

    /**
     * Returns what the endpoint sends.
     *
     * @param response the sound response
     * @param earlier a response that was sent before on the same connection, or this one
     * @param place where the fault acts
     */
    Answer apply(FramedResponse response, String earlier, Place place) {
        return new Answer(response.text(), End.KEEP);
    }

    private static String kilobyte(String text) {
        return text.repeat(1 + 1_024 / text.length());
    }

    private static String lastPiece(FramedResponse response) {
        return response.pieces().get(response.pieces().size() - 1);
    }

    /**
     * Where a fault acts, as two numbers from 0 to {@link #PARTS} - 1.
     *
     * @param first share of the first text that is kept, or the choice of what is inserted
     * @param second share of the second text that is kept
     */
    record Place(int first, int second) {
        static final int PARTS = 1_000;

        /** Returns the start of a text, at least one character of it. */
        String cut(String text) {
            return start(text, first);
        }

        String secondCut(String text) {
            return start(text, second);
        }

        /** Returns the end of a text, without at least one character of it. */
        String rest(String text) {
            return text.substring(cut(text).length());
        }

        <T> T of(List<T> choices) {
            return choices.get(first % choices.size());
        }

        <T> T secondOf(List<T> choices) {
            return choices.get(second % choices.size());
        }

        private static String start(String text, int part) {
            return text.substring(
                    0, Math.min(text.length(), 1 + (text.length() - 1) * part / (PARTS - 1)));
        }
    }
}
