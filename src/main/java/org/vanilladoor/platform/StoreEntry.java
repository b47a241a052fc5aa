package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.common.Json;

/**
 * An object or event of the store, decoded as far as possible.
 *
 * <p>A field that can't be decoded is missing from the content, so an object whose {@code spec} is
 * not readable still has its name. Immutable, provided that no caller modifies the content.
 *
 * @param content the decoded fields; an empty object if none could be decoded
 * @param failure why a field is missing, if one is
 */
record StoreEntry(ObjectNode content, Optional<String> failure) {
    /** Field of an event that is an object, whose fields are decoded one by one as well. */
    private static final String OBJECT_FIELD = "object";

    /** Decodes an object or event, of which only the beginning may be present. */
    static StoreEntry decode(byte[] json) {
        try {
            JsonNode content = Json.readTree(json);
            return content instanceof ObjectNode object
                    ? new StoreEntry(object, Optional.empty())
                    : new StoreEntry(Json.newObject(), Optional.of("not an object"));
        } catch (UncheckedIOException e) {
            StoreEntry entry = ofFields(JsonSplitter.fieldsOf(json));
            return entry.failure().isPresent()
                    ? entry
                    : new StoreEntry(entry.content(), Optional.of(reasonOf(e)));
        }
    }

    /** Decodes fields one by one. */
    static StoreEntry ofFields(Map<String, byte[]> fields) {
        ObjectNode content = Json.newObject();
        Optional<String> failure = Optional.empty();
        for (Map.Entry<String, byte[]> field : fields.entrySet()) {
            try {
                content.set(field.getKey(), Json.readTree(field.getValue()));
            } catch (UncheckedIOException e) {
                failure = Optional.of(field.getKey() + ": " + reasonOf(e));
                if (field.getKey().equals(OBJECT_FIELD)) {
                    content.set(OBJECT_FIELD, decode(field.getValue()).content());
                }
            }
        }
        return new StoreEntry(content, failure);
    }

    private static String reasonOf(UncheckedIOException failure) {
        String message = String.valueOf(failure.getCause().getMessage());
        return message.lines().findFirst().orElse("");
    }
}
