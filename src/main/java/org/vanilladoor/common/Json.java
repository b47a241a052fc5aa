package org.vanilladoor.common;

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
 * Reads and writes JSON with one set of rules for the whole program.
 *
 * <p>Unknown fields are passed over, so that objects of a later version stay readable. Stateless
 * after class initialization and safe for use by any thread.
 */
public final class Json {
    private static final int MAXIMUM_NESTING = 64;
    private static final ObjectMapper MAPPER = createMapper();

    private Json() {}

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = new ObjectMapper();
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build());
        return mapper;
    }

    /**
     * Returns the value as JSON in UTF-8.
     *
     * @throws IllegalArgumentException if the value's type has no JSON form
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value has no JSON form: " + value, e);
        }
    }

    /**
     * Returns the value of the given type held by JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes are not JSON of that type
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new UncheckedIOException("not JSON of " + type.getSimpleName(), e);
        }
    }

    /**
     * Returns the value of the given generic type held by JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes are not JSON of that type
     */
    public static <T> T read(byte[] json, TypeReference<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new UncheckedIOException("not JSON of " + type.getType(), e);
        }
    }

    /**
     * Returns the tree held by JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes are not JSON
     */
    public static JsonNode readTree(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException("not JSON", e);
        }
    }

    /** Returns a new empty JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }
}
