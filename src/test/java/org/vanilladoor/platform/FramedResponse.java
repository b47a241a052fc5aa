package org.vanilladoor.platform;

import java.util.List;

/**
 * A response of a stand-in before a fault changes its bytes.
 *
 * <p>Immutable.
 *
 * @param head status line and header fields without those that state the length, each with its line
 *     end
 * @param pieces the body, in the pieces in which it is written as chunks
 * @param framing how the length is stated
 */
record FramedResponse(String head, List<String> pieces, Framing framing) {
    /** Returns the head with its empty line. */
    String wholeHead() {
        return head + framing.fields(body().length()) + "\r\n";
    }

    /** Returns all bytes of the response. */
    String text() {
        return wholeHead() + framing.write(pieces);
    }

    String body() {
        return String.join("", pieces);
    }

    /** Returns the body as the head states it. */
    String statedBody() {
        return framing.stated(body());
    }

    /** How a response states the length of its body. */
    enum Framing {
        LENGTH(true) {
            @Override
            String fields(int length) {
                return lengthField(length);
            }
        },
        CHUNKED(true) {
            @Override
            String write(List<String> pieces) {
                return chunks(pieces, "") + "0\r\n\r\n";
            }
        },
        CHUNK_EXTENSIONS(true) {
            @Override
            String write(List<String> pieces) {
                return chunks(pieces, ";name=\"HTTP/1.1 200 OK\"") + "0;last\r\n\r\n";
            }
        },
        TRAILERS(true) {
            @Override
            String write(List<String> pieces) {
                return chunks(pieces, "")
                        + "0\r\nVanilladoor-Attempt-Id: another\r\nVanilladoor-Not-Run: 1\r\n\r\n";
            }
        },
        LENGTH_BESIDE_CHUNKS(true) {
            @Override
            String fields(int length) {
                return lengthField(length) + CHUNKED_FIELD;
            }

            @Override
            String write(List<String> pieces) {
                return CHUNKED.write(pieces);
            }
        },
        TWO_LENGTHS(false) {
            @Override
            String fields(int length) {
                return lengthField(length - 1) + lengthField(length);
            }
        },
        LENGTH_TOO_LONG(false) {
            @Override
            String fields(int length) {
                return lengthField(length + 3);
            }
        },
        /** States a complete response, which other bytes follow. */
        LENGTH_TOO_SHORT(false) {
            @Override
            String fields(int length) {
                return lengthField(length - 1);
            }

            @Override
            String stated(String body) {
                return body.substring(0, body.length() - 1);
            }
        },
        /** For responses that have no body, whatever length they state. */
        NO_BODY(true) {
            @Override
            String fields(int length) {
                return "";
            }

            @Override
            String write(List<String> pieces) {
                return "";
            }

            @Override
            String stated(String body) {
                return "";
            }
        },
        /** For responses that have no body: other bytes follow. */
        BODY_BEHIND_NO_BODY(false) {
            @Override
            String fields(int length) {
                return lengthField(length);
            }

            @Override
            String stated(String body) {
                return "";
            }
        };

        private static final String CHUNKED_FIELD = "Transfer-Encoding: chunked\r\n";
        private final boolean mSound;

        Framing(boolean sound) {
            mSound = sound;
        }

        /** Returns whether all bytes belong to one complete response. */
        boolean isSound() {
            return mSound;
        }

        boolean isForNoBody() {
            return this == NO_BODY || this == BODY_BEHIND_NO_BODY;
        }

        String fields(int length) {
            return CHUNKED_FIELD;
        }

        String write(List<String> pieces) {
            return String.join("", pieces);
        }

        String stated(String body) {
            return body;
        }

        private static String lengthField(int length) {
            return "Content-Length: " + length + "\r\n";
        }

        private static String chunks(List<String> pieces, String extension) {
            StringBuilder text = new StringBuilder();
            for (String piece : pieces) {
                text.append(Integer.toHexString(piece.length())).append(extension);
                text.append("\r\n").append(piece).append("\r\n");
            }
            return text.toString();
        }
    }
}
