package org.vanilladoor.key;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.vanilladoor.common.Digests;

/**
 * The keys of one accepted configuration.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class KeyRing {
    private static final int KEY_PART_COUNT = 3;
    private final Map<String, KeyRecord> mRecords;

    private KeyRing(Map<String, KeyRecord> records) {
        mRecords = records;
    }

    /** Returns a key ring with the given records. */
    public static KeyRing of(Collection<KeyRecord> records) {
        return new KeyRing(
                records.stream()
                        .collect(Collectors.toMap(KeyRecord::identifier, Function.identity())));
    }

    /**
     * Returns the record of the key that a caller sent, or empty if the key is unknown or
     * withdrawn.
     *
     * @param key key as the caller sent it
     */
    public Optional<KeyRecord> authenticate(String key) {
        String[] parts = key.split(IssuedKey.SEPARATOR, -1);
        if (parts.length != KEY_PART_COUNT || !parts[0].equals(IssuedKey.KEY_PREFIX)) {
            return Optional.empty();
        }
        return Optional.ofNullable(mRecords.get(parts[1]))
                .filter(record -> !record.withdrawn())
                .filter(
                        record ->
                                Digests.constantTimeEquals(
                                        record.digest(),
                                        IssuedKey.digest(record.salt(), parts[2])));
    }

    /** Returns whether a key with the given identifier exists and is not withdrawn. */
    public boolean isValid(String identifier) {
        KeyRecord record = mRecords.get(identifier);
        return record != null && !record.withdrawn();
    }

    /** Returns all records. */
    public List<KeyRecord> records() {
        return List.copyOf(mRecords.values());
    }
}
