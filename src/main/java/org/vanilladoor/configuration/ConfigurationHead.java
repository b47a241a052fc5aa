package org.vanilladoor.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Head of one accepted configuration: its version and the list of its parts.
 *
 * <p>Parts are stored under their digests and never change. Immutable and safe for use by any
 * thread.
 *
 * @param version increases by one with each accepted configuration; 0 if none has been accepted
 * @param nonces random nonces of this and the most recent earlier acceptances, the latest first; a
 *     writer whose response was lost finds its nonce here even after later acceptances
 * @param parts digests of the parts, keyed by part name
 */
public record ConfigurationHead(long version, List<String> nonces, Map<String, String> parts) {
    /** Name of the object that holds the head. */
    public static final String OBJECT = "configuration/head";

    /** Prefix of the names of the objects that hold parts; the digest follows it. */
    public static final String PART_PREFIX = "configuration/part/";

    public ConfigurationHead {
        nonces = List.copyOf(nonces);
        parts = Collections.unmodifiableMap(new TreeMap<>(parts));
    }
}
