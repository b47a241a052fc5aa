package org.vanilladoor.claim;

import java.util.Objects;

/**
 * The answer of a call that ran, kept for repeats.
 *
 * <p>Immutable but for the body's bytes, which nobody may change. Safe for use by any thread.
 *
 * @param status HTTP status
 * @param contentType type of the body
 * @param body the body, empty if it was too long to keep
 * @param whole whether the body was kept
 */
public record StoredResponse(int status, String contentType, byte[] body, boolean whole) {
    /** Longest body that is kept. */
    public static final int MAXIMUM_BODY_BYTES = 256 * 1_024;

    public StoredResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the answer to keep, without a body that is too long. */
    public static StoredResponse of(int status, String contentType, byte[] body) {
        boolean whole = body.length <= MAXIMUM_BODY_BYTES;
        return new StoredResponse(status, contentType, whole ? body : new byte[0], whole);
    }
}
