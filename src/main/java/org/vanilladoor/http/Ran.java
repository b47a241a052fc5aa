package org.vanilladoor.http;

import java.util.Locale;

/**
 * What a refusal says about whether the request ran.
 *
 * <p>{@link #NO} is a promise: neither this attempt nor, where it carried an idempotency key, any
 * earlier one with that key was handed to an endpoint or ever will be.
 */
public enum Ran {
    /** Nothing was handed to an endpoint. */
    NO,
    /** It can't be told whether an endpoint ran the request. */
    UNKNOWN,
    /** An endpoint ran the request. */
    YES;

    /** Returns the value's form in a problem document. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
