package org.vanilladoor.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is kept of the responses of the platform's object store.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class ObjectSelections {
    static final String META_FIELD = "meta";
    static final String SPEC_FIELD = "spec";
    static final String STATUS_FIELD = "status";

    /** Size of changes above which listing the objects in pages is sooner done. */
    private static final long MAXIMUM_CHANGES_BYTES = 8 * 1024 * 1024;

    private static final Set<String> LIST_FIELDS = Set.of("items", "events");

    /** The name and the version of an object. */
    private static final JsonSelection META =
            JsonSelection.ofFields(
                    Map.of("name", JsonSelection.SCALAR, "rev", JsonSelection.SCALAR));

    /** The names of objects. */
    static final JsonSelection NAMES = JsonSelection.ofFields(Map.of(META_FIELD, META));

    /** Our own objects, which those decode who know their types. */
    static final JsonSelection ENCODED_OBJECTS =
            JsonSelection.ofFields(Map.of(META_FIELD, META, SPEC_FIELD, JsonSelection.ENCODED));

    /** A response with one whole object. */
    static final PlatformCalls.ContentSelection OBJECT = ofPage(NAMES);

    /** A response with one object, of which the status is needed. */
    static final PlatformCalls.ContentSelection STATUS =
            new PlatformCalls.ContentSelection(
                    LIST_FIELDS,
                    NAMES,
                    JsonSelection.ofFields(
                            Map.of(META_FIELD, META, STATUS_FIELD, JsonSelection.EVERYTHING)),
                    Long.MAX_VALUE);

    private ObjectSelections() {}

    /** Returns the selection for a page of a listing. */
    static PlatformCalls.ContentSelection ofPage(JsonSelection object) {
        return new PlatformCalls.ContentSelection(
                LIST_FIELDS, object, JsonSelection.EVERYTHING, Long.MAX_VALUE);
    }

    /** Returns the selection for changes of objects. */
    static PlatformCalls.ContentSelection ofChanges(JsonSelection object) {
        JsonSelection event =
                JsonSelection.ofFields(
                        Map.of("object", withMeta(object), "tombstone", JsonSelection.SCALAR));
        return new PlatformCalls.ContentSelection(
                LIST_FIELDS, event, JsonSelection.EVERYTHING, MAXIMUM_CHANGES_BYTES);
    }

    /** Adds what the client needs of each object. */
    static JsonSelection withMeta(JsonSelection object) {
        if (object.mode() != JsonSelection.Mode.FIELDS) {
            return object;
        }
        Map<String, JsonSelection> fields = new HashMap<>(object.fields());
        fields.put(META_FIELD, META);
        return JsonSelection.ofFields(fields);
    }
}
