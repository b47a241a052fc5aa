package org.vanilladoor.provider;

import java.util.Locale;

/**
 * Kinds of calls to the platform, counted and limited apart.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum CallKind {
    READ,
    WRITE,
    WATCH,
    LIST,
    ENDPOINTS,
    MACHINES,
    USAGE,
    ORDER;

    /** Returns the name of the counter of this kind. */
    public String metricName() {
        return "platform.calls." + name().toLowerCase(Locale.ROOT);
    }
}
