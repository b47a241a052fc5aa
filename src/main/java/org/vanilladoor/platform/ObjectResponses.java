package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.vanilladoor.provider.StoreUnavailableException;

/**
 * Checks that a response of the store is the one to the read or write that was sent.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class ObjectResponses {
    private ObjectResponses() {}

    /**
     * Returns the object of a successful response.
     *
     * @throws StoreUnavailableException if the call failed, or the response has another object and
     *     so belongs to another call
     */
    static JsonNode requireObject(PlatformCalls.Response response, String name) {
        JsonNode object = response.requireSuccess();
        if (!object.path("meta").isObject()) {
            throw new UnreadableResponseException(
                    response.description() + ": the response is not an object");
        }
        boolean isOther =
                object.path("meta").has("name") && !ObjectClient.nameOf(object).equals(name);
        if (isOther || !object.path("meta").path("rev").isIntegralNumber()) {
            throw new StoreUnavailableException(
                    response.description() + ": the response belongs to another call");
        }
        return object;
    }

    /**
     * Returns the version of an object that was written.
     *
     * @param field the part of the object that was replaced
     * @throws StoreUnavailableException if the call failed, or the response shows the object as it
     *     was before
     */
    static long requireWritten(
            PlatformCalls.Response response,
            String name,
            long expectedVersion,
            String field,
            JsonNode content) {
        JsonNode object = requireObject(response, name);
        long version = versionOf(object);
        // A write that changes nothing leaves the version as it is.
        boolean isUnchanged =
                version == expectedVersion
                        && object.path(field).equals(ObjectResponses::compareNumbers, content);
        if (version <= expectedVersion && !isUnchanged) {
            throw new StoreUnavailableException(
                    response.description() + ": the response belongs to an earlier call");
        }
        return version;
    }

    /** Returns 0 if both nodes are equal or the same number in different spellings. */
    private static int compareNumbers(JsonNode left, JsonNode right) {
        boolean isEqual =
                left.isNumber() && right.isNumber()
                        ? left.decimalValue().compareTo(right.decimalValue()) == 0
                        : left.equals(right);
        return isEqual ? 0 : 1;
    }

    static long versionOf(JsonNode object) {
        return object.path("meta").path("rev").asLong();
    }
}
