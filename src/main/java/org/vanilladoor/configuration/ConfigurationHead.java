package org.vanilladoor.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Names the parts of one accepted configuration.
 *
 * <p>Parts are stored under their digests and never change. Immutable and safe for use by any
 * thread.
 *
 * @param version grows by one with each accepted configuration, 0 for none
 * @param nonces random texts of this and the latest earlier acceptances, the newest first, so that
 *     an own write whose answer was lost is known even after others have followed
 * @param parts digest of each part by the part's name
 */
public record ConfigurationHead(long version, List<String> nonces, Map<String, String> parts) {
    /** Name of the object that holds the head. */
    public static final String OBJECT = "configuration/head";

    /** Begin of the names of the objects that hold parts. */
    public static final String PART_PREFIX = "configuration/part/";

    public ConfigurationHead {
        nonces = List.copyOf(nonces);
        parts = Collections.unmodifiableMap(new TreeMap<>(parts));
    }
}
