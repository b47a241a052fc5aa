package org.vanilladoor.common;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Reads and writes JSON with the same settings throughout the program.
 *
 * <p>Unknown fields are ignored, so that objects written by a later version stay readable. Map
 * entries are written in the order of their keys. Stateless after class initialization and safe for
 * use by any thread.
 */
public final class Json {
    private static final int MAXIMUM_NESTING_DEPTH = 64;

    /** Jackson remembers some thousands of names for good, whoever has sent them. */
    private static final int MAXIMUM_NAME_LENGTH = 1_024;

    private static final ObjectMapper MAPPER = createMapper();

    private Json() {}

    private static ObjectMapper createMapper() {
        ObjectMapper mapper =
                new ObjectMapper(
                        JsonFactory.builder()
                                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                                .build());
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder()
                                .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                                .maxNameLength(MAXIMUM_NAME_LENGTH)
                                .build());
        return mapper;
    }

    /**
     * Serializes the value as JSON in UTF-8.
     *
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be serialized as JSON: " + value, e);
        }
    }

    /**
     * Deserializes a value of the given type from JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes are not valid JSON for that type, or are {@code
     *     null}
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return requireValue(MAPPER.readValue(json, type));
        } catch (IOException e) {
            throw new UncheckedIOException("not valid JSON for " + type.getSimpleName(), e);
        }
    }

    /**
     * Deserializes a value of the given generic type from JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes are not valid JSON for that type, or are {@code
     *     null}
     */
    public static <T> T read(byte[] json, TypeReference<T> type) {
        try {
            return requireValue(MAPPER.readValue(json, type));
        } catch (IOException e) {
            throw new UncheckedIOException("not valid JSON for " + type.getType(), e);
        }
    }

    /**
     * Parses JSON in UTF-8 into a tree.
     *
     * @throws UncheckedIOException if the bytes are not valid JSON
     */
    public static JsonNode readTree(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException("not valid JSON", e);
        }
    }

    private static <T> T requireValue(T value) throws IOException {
        if (value == null) {
            throw new IOException("the value is null");
        }
        return value;
    }

    /** Returns a new empty JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }
}
