package org.vanilladoor.provider;

import java.util.Locale;

/**
 * Kinds of calls to the platform. Each kind has its own counter; {@link PlatformCallLimiter}
 * prefers writes.
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

    /** Returns the name of the metric that counts calls of this kind. */
    public String metricName() {
        return "platform.calls." + name().toLowerCase(Locale.ROOT);
    }
}
