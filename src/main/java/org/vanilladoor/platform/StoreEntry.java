package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import org.vanilladoor.common.Json;

/**
 * An object or event of the store, decoded as far as it is selected and can be decoded.
 *
 * <p>A field that can't be decoded is missing from the content, so an object whose {@code spec} is
 * not readable still has its name. Immutable, provided that no caller modifies the content.
 *
 * @param content the decoded fields; an empty object if none could be decoded
 * @param bytes approximate memory that the content takes
 * @param failure why a field is missing, if one is
 */
record StoreEntry(ObjectNode content, int bytes, Optional<String> failure) {
    /** Field of an event that is an object, whose fields are decoded one by one as well. */
    private static final String OBJECT_FIELD = "object";

    /** Decodes an object or event, of which only the beginning may be present. */
    static StoreEntry decode(byte[] json, JsonSelection selection, BoundedJsonDecoder decoder) {
        try {
            BoundedJsonDecoder.Decoded decoded = decoder.decode(json, selection);
            return decoded.value() instanceof ObjectNode object
                    ? new StoreEntry(object, decoded.bytes(), Optional.empty())
                    : new StoreEntry(Json.newObject(), 0, Optional.of("not an object"));
        } catch (UncheckedIOException e) {
            StoreEntry entry =
                    ofFields(
                            JsonSplitter.fieldsOf(json, name -> selection.field(name).isPresent()),
                            selection,
                            decoder);
            return entry.failure().isPresent()
                    ? entry
                    : new StoreEntry(entry.content(), entry.bytes(), Optional.of(reasonOf(e)));
        }
    }

    /** Decodes the selected fields one by one. */
    static StoreEntry ofFields(
            Map<String, byte[]> fields, JsonSelection selection, BoundedJsonDecoder decoder) {
        ObjectNode content = Json.newObject();
        int bytes = 0;
        Optional<String> failure = Optional.empty();
        for (Map.Entry<String, byte[]> field : fields.entrySet()) {
            Optional<JsonSelection> selected = selection.field(field.getKey());
            if (selected.isEmpty()) {
                continue;
            }
            try {
                BoundedJsonDecoder.Decoded decoded =
                        decoder.decode(field.getValue(), selected.get());
                content.set(field.getKey(), decoded.value());
                bytes += decoded.bytes();
            } catch (UncheckedIOException e) {
                failure = Optional.of(field.getKey() + ": " + reasonOf(e));
                if (field.getKey().equals(OBJECT_FIELD)) {
                    StoreEntry object = decode(field.getValue(), selected.get(), decoder);
                    content.set(OBJECT_FIELD, object.content());
                    bytes += object.bytes();
                }
            }
        }
        return new StoreEntry(content, bytes, failure);
    }

    private static String reasonOf(UncheckedIOException failure) {
        String message = String.valueOf(failure.getCause().getMessage());
        return message.lines().findFirst().orElse("");
    }
}
