package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The changes to the objects of a kind in the platform's store.
 *
 * <p>Immutable, provided that no caller modifies the events.
 *
 * @param historyGone whether the store no longer holds the changes since the requested version, so
 *     that all objects have to be listed again
 * @param events changes in order, in the platform's format
 * @param version version of the store up to which the changes are included
 */
record StoreChanges(boolean historyGone, List<JsonNode> events, long version) {
    /** Returns that the changes since a version are gone. */
    static StoreChanges unknownSince(long version) {
        return new StoreChanges(true, List.of(), version);
    }
}
