package org.vanilladoor.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import org.vanilladoor.common.Json;

/**
 * A problem document (RFC 9457) with the extension member {@code ran}.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param status HTTP status
 * @param type short machine-readable type of the problem
 * @param detail what is wrong, with the offending value
 * @param ran whether the request ran
 * @param attemptHandedOver whether this attempt was sent to an endpoint; with an idempotency key
 *     this can be known while {@code ran} is unknown
 * @param retryAfterSeconds seconds after which a retry may help, 0 to send no {@code Retry-After}
 */
public record Problem(
        int status,
        String type,
        String detail,
        Ran ran,
        boolean attemptHandedOver,
        int retryAfterSeconds) {
    public Problem {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(ran, "ran");
    }

    /** Returns the problem of a request that was not run and for which waiting does not help. */
    public static Problem notRun(int status, String type, String detail) {
        return new Problem(status, type, detail, Ran.NO, false, 0);
    }

    /** Returns the problem of a request that was not run and may be sent again later. */
    public static Problem notRunRetryAfter(
            int status, String type, String detail, int retryAfterSeconds) {
        return new Problem(status, type, detail, Ran.NO, false, retryAfterSeconds);
    }

    /** Returns the problem of a request that an endpoint may have run. */
    public static Problem mayHaveRun(
            int status, String type, String detail, boolean attemptHandedOver) {
        return new Problem(status, type, detail, Ran.UNKNOWN, attemptHandedOver, 0);
    }

    /** Returns the document in UTF-8. */
    public byte[] toJson() {
        ObjectNode document = Json.newObject();
        document.put("type", "urn:vanilladoor:problem:" + type);
        document.put("title", type.replace('-', ' '));
        document.put("status", status);
        document.put("detail", detail);
        document.put("ran", ran.wireName());
        document.put("attempt_handed_over", attemptHandedOver);
        return Json.write(document);
    }
}
