package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoreUnavailableException;

/**
 * A response of the store that has been accepted, with its era.
 *
 * <p>Its methods check that it is the response to the read or write that was sent. Immutable and
 * safe for use by any thread.
 *
 * @param content the response
 * @param era era of the store that it states
 */
record StoreResponse(PlatformCalls.Response content, long era) {
    int status() {
        return content.status();
    }

    /**
     * Returns the object of a successful response.
     *
     * @throws StoreUnavailableException if the call failed, or the response has another object and
     *     so belongs to another call
     */
    JsonNode requireObject(String name) {
        JsonNode object = content.requireSuccess();
        if (!object.path("meta").isObject()) {
            throw new UnreadableResponseException(
                    content.description() + ": the response is not an object");
        }
        boolean isOther =
                object.path("meta").has("name") && !ObjectClient.nameOf(object).equals(name);
        if (isOther || !object.path("meta").path("rev").isIntegralNumber()) {
            throw new StoreUnavailableException(
                    content.description() + ": the response belongs to another call");
        }
        return object;
    }

    /**
     * Returns the version of an object that was written.
     *
     * @param expectedVersion version that the write replaces
     * @param field the part of the object that was replaced
     * @throws StoreUnavailableException if the call failed, if the response shows the object as it
     *     was before, or if the store has begun a new era, in which the expected revision may have
     *     been that of another write
     */
    long requireWritten(String name, long expectedVersion, String field, JsonNode written) {
        JsonNode object = requireObject(name);
        long version = versionOf(object);
        boolean isOfEra =
                expectedVersion == ObjectStore.ABSENT
                        || ObjectVersion.eraOf(expectedVersion) == era;
        if (!isOfEra) {
            throw new StoreUnavailableException(
                    content.description() + ": the store has begun a new era");
        }
        // A write that changes nothing leaves the version as it is.
        boolean isUnchanged =
                version == expectedVersion
                        && object.path(field).equals(StoreResponse::compareNumbers, written);
        if (version <= expectedVersion && !isUnchanged) {
            throw new StoreUnavailableException(
                    content.description() + ": the response belongs to an earlier call");
        }
        return version;
    }

    /**
     * Returns the version of the store that a successful response states.
     *
     * @param field field with the store's revision
     */
    long requireVersion(String field) {
        return ObjectVersion.of(era, revisionIn(content.requireNumber(field).path(field)));
    }

    /** Returns the version of an object in this response. */
    long versionOf(JsonNode object) {
        return versionOf(era, object);
    }

    static long versionOf(long era, JsonNode object) {
        return ObjectVersion.of(era, revisionIn(object.path("meta").path("rev")));
    }

    /** Returns a revision, or 0 if there is none that a store can have. */
    private static long revisionIn(JsonNode revision) {
        long number = revision.asLong();
        return number >= 0 && number <= ObjectVersion.MAXIMUM_REVISION ? number : 0;
    }

    /** Returns 0 if both nodes are equal or the same number in different spellings. */
    private static int compareNumbers(JsonNode left, JsonNode right) {
        boolean isEqual =
                left.isNumber() && right.isNumber()
                        ? left.decimalValue().compareTo(right.decimalValue()) == 0
                        : left.equals(right);
        return isEqual ? 0 : 1;
    }
}
