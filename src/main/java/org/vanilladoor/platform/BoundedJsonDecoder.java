package org.vanilladoor.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decodes JSON of other writers into trees of bounded size.
 *
 * <p>A tree may take twenty times the memory of its text. Invariants: only what is selected is
 * built, and no more of it than the maximum; parts that are not selected take no memory, whatever
 * their size, and names are not remembered. Immutable and safe for use by any thread.
 */
final class BoundedJsonDecoder {
    private static final int MAXIMUM_NESTING_DEPTH = 64;
    private static final int MAXIMUM_SCALAR_CHARACTERS = 1_024;

    /** Approximate memory of an object or array without its content. */
    private static final int CONTAINER_BYTES = 96;

    /** Approximate memory of a value and of the reference to it, without a text. */
    private static final int SCALAR_BYTES = 40;

    /** Approximate memory of a text, besides two bytes for each character. */
    private static final int TEXT_BYTES = 64;

    private static final int CHARACTER_BYTES = 2;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private final JsonFactory mFactory =
            JsonFactory.builder()
                    // Only a parser of characters can do without a table of all names.
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                                    .build())
                    .build();
    private final int mMaximumBytes;

    private BoundedJsonDecoder(int maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    /**
     * Returns a decoder.
     *
     * @param maximumBytes approximate memory that one decoded value may take
     */
    static BoundedJsonDecoder create(int maximumBytes) {
        return new BoundedJsonDecoder(maximumBytes);
    }

    /**
     * Decodes a value.
     *
     * @throws UncheckedIOException if the bytes are not valid JSON, or the selected parts are too
     *     large
     */
    Decoded decode(byte[] json, JsonSelection selection) {
        try {
            CharBuffer text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(json));
            return decode(text, selection);
        } catch (IOException e) {
            throw new UncheckedIOException("not valid JSON", e);
        }
    }

    private Decoded decode(CharBuffer text, JsonSelection selection) throws IOException {
        try (JsonParser parser = mFactory.createParser(text.array(), 0, text.limit())) {
            Reader reader = new Reader(parser, text);
            if (parser.nextToken() == null) {
                throw new IOException("no value");
            }
            JsonNode value = reader.read(selection);
            if (parser.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return new Decoded(value, reader.mBytes);
        }
    }

    /**
     * A decoded value.
     *
     * @param value the selected parts; an array or object that is not selected is empty
     * @param bytes approximate memory that they take
     */
    record Decoded(JsonNode value, int bytes) {}

    /** Reads one value and counts the memory that it takes. */
    private final class Reader {
        private final JsonParser mParser;
        private final CharBuffer mText;
        private int mBytes;

        Reader(JsonParser parser, CharBuffer text) {
            mParser = parser;
            mText = text;
        }

        /** Reads the value that begins with the current token. */
        JsonNode read(JsonSelection selection) throws IOException {
            return switch (selection.mode()) {
                case EVERYTHING -> readEverything();
                case SCALAR -> readScalarOrSkip();
                case ENCODED -> readEncoded();
                case FIELDS ->
                        mParser.currentToken() == JsonToken.START_OBJECT
                                ? readFields(selection)
                                : readScalarOrSkip();
            };
        }

        private JsonNode readEverything() throws IOException {
            return switch (mParser.currentToken()) {
                case START_OBJECT -> readFields(JsonSelection.EVERYTHING);
                case START_ARRAY -> readElements();
                default -> readScalar();
            };
        }

        private ObjectNode readFields(JsonSelection selection) throws IOException {
            charge(CONTAINER_BYTES);
            ObjectNode object = NODES.objectNode();
            Map<String, Integer> bytesByField = new HashMap<>();
            while (mParser.nextToken() == JsonToken.FIELD_NAME) {
                String name = mParser.currentName();
                Optional<JsonSelection> field = selection.field(name);
                mParser.nextToken();
                if (field.isEmpty()) {
                    mParser.skipChildren();
                    continue;
                }
                // The last one of several fields with the same name replaces the others.
                mBytes -= bytesByField.getOrDefault(name, 0);
                int bytesBefore = mBytes;
                charge(textBytes(name.length()));
                object.set(name, read(field.get()));
                bytesByField.put(name, mBytes - bytesBefore);
            }
            return object;
        }

        private ArrayNode readElements() throws IOException {
            charge(CONTAINER_BYTES);
            ArrayNode array = NODES.arrayNode();
            while (mParser.nextToken() != JsonToken.END_ARRAY) {
                array.add(readEverything());
            }
            return array;
        }

        private JsonNode readScalarOrSkip() throws IOException {
            boolean isLongText =
                    mParser.currentToken() == JsonToken.VALUE_STRING
                            && mParser.getTextLength() > MAXIMUM_SCALAR_CHARACTERS;
            if (!isLongText && mParser.currentToken().isScalarValue()) {
                return readScalar();
            }
            charge(CONTAINER_BYTES);
            boolean isObject = mParser.currentToken() == JsonToken.START_OBJECT;
            mParser.skipChildren();
            return isObject ? NODES.objectNode() : NODES.arrayNode();
        }

        private JsonNode readEncoded() throws IOException {
            if (mParser.currentToken().isScalarValue()) {
                return readScalar();
            }
            int start = (int) mParser.currentTokenLocation().getCharOffset();
            mParser.skipChildren();
            int end = (int) mParser.currentLocation().getCharOffset();
            String json = new String(mText.array(), start, end - start);
            byte[] encoded = json.getBytes(StandardCharsets.UTF_8);
            charge(CONTAINER_BYTES);
            charge(encoded.length);
            return NODES.binaryNode(encoded);
        }

        private JsonNode readScalar() throws IOException {
            charge(SCALAR_BYTES);
            return switch (mParser.currentToken()) {
                case VALUE_STRING -> {
                    charge(textBytes(mParser.getTextLength()));
                    yield NODES.textNode(mParser.getText());
                }
                case VALUE_NUMBER_INT ->
                        switch (mParser.getNumberType()) {
                            case INT -> NODES.numberNode(mParser.getIntValue());
                            case LONG -> NODES.numberNode(mParser.getLongValue());
                            default -> NODES.numberNode(mParser.getBigIntegerValue());
                        };
                case VALUE_NUMBER_FLOAT -> NODES.numberNode(mParser.getDoubleValue());
                case VALUE_TRUE -> NODES.booleanNode(true);
                case VALUE_FALSE -> NODES.booleanNode(false);
                case VALUE_NULL -> NODES.nullNode();
                default -> throw new IOException("unexpected " + mParser.currentToken());
            };
        }

        private void charge(long bytes) throws IOException {
            if (bytes > mMaximumBytes - mBytes) {
                throw new IOException("decoding takes more than " + mMaximumBytes + " bytes");
            }
            mBytes += (int) bytes;
        }

        private static long textBytes(int characters) {
            return TEXT_BYTES + (long) CHARACTER_BYTES * characters;
        }
    }
}
