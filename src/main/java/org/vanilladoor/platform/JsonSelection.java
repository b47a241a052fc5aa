package org.vanilladoor.platform;

import java.util.Map;
import java.util.Optional;

/**
 * Which parts of a JSON value are kept when it is decoded.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param mode what is kept of the value
 * @param fields for {@link Mode#FIELDS}, what is kept of each field; other fields are left out
 */
record JsonSelection(Mode mode, Map<String, JsonSelection> fields) {
    /** The whole value. */
    static final JsonSelection EVERYTHING = new JsonSelection(Mode.EVERYTHING, Map.of());

    /** A short text, a number, a truth value or null. */
    static final JsonSelection SCALAR = new JsonSelection(Mode.SCALAR, Map.of());

    /** The value as JSON in UTF-8. */
    static final JsonSelection ENCODED = new JsonSelection(Mode.ENCODED, Map.of());

    JsonSelection {
        fields = Map.copyOf(fields);
    }

    /** Selects fields of an object. */
    static JsonSelection ofFields(Map<String, JsonSelection> fields) {
        return new JsonSelection(Mode.FIELDS, fields);
    }

    /** Returns what is kept of a field of this value, or nothing if it is left out. */
    Optional<JsonSelection> field(String name) {
        return mode == Mode.FIELDS ? Optional.ofNullable(fields.get(name)) : Optional.of(this);
    }

    /** What is kept of a value. */
    enum Mode {
        /** The whole value. */
        EVERYTHING,
        /** A value without parts; of an array, an object or a long text, only that there is one. */
        SCALAR,
        /** An array or object as its JSON, anything else as it is. */
        ENCODED,
        /** The selected fields of an object; of anything else as much as of a scalar. */
        FIELDS
    }
}
