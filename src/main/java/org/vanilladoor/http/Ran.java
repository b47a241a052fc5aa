package org.vanilladoor.http;

import java.util.Locale;

/**
 * What a problem document states about whether the request ran.
 *
 * <p>{@link #NO} is a guarantee: neither this attempt nor, if it carried an idempotency key, any
 * earlier attempt with that key was sent to an endpoint or ever will be.
 */
public enum Ran {
    /** Nothing was sent to an endpoint. */
    NO,
    /** It is not known whether an endpoint ran the request. */
    UNKNOWN,
    /** An endpoint ran the request. */
    YES;

    /** Returns the value as written in a problem document. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
