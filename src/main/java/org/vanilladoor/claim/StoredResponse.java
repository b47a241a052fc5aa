package org.vanilladoor.claim;

import java.util.Objects;

/**
 * The response of a call that ran, stored for retries of the call.
 *
 * <p>Immutable, provided that no user modifies the body's bytes. Safe for use by any thread.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the body, empty if it was too long to store
 * @param whole whether the body was stored
 */
public record StoredResponse(int status, String contentType, byte[] body, boolean whole) {
    /** Length of the longest body that is stored, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 256 * 1_024;

    public StoredResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the response to store, without its body if that is too long. */
    public static StoredResponse of(int status, String contentType, byte[] body) {
        boolean whole = body.length <= MAXIMUM_BODY_BYTES;
        return new StoredResponse(status, contentType, whole ? body : new byte[0], whole);
    }
}
