package org.vanilladoor.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Names of stored objects in the platform's store.
 *
 * <p>Our own names have the form {@code kind/name}. In the store, their kinds begin with {@value
 * #KIND_PREFIX}, which distinguishes them from the platform's kinds, and slashes in the rest of the
 * name become dots. Stateless and safe for use by any thread.
 */
final class ObjectNames {
    /** Path of all objects. */
    static final String PATH = "/api/objects/";

    /** Prefix of the kinds of our own objects. */
    static final String KIND_PREFIX = "vanilladoor-";

    private ObjectNames() {}

    /** Encodes a name for use as a part of a path or query. */
    static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }

    static String kindPrefix(String name) {
        return name.substring(0, name.indexOf('/') + 1);
    }

    static String platformKind(String name) {
        return KIND_PREFIX + name.substring(0, name.indexOf('/'));
    }

    static String platformName(String name) {
        return name.substring(name.indexOf('/') + 1).replace('/', '.');
    }

    static String objectPath(String name) {
        return PATH + encode(platformKind(name)) + "/" + encode(platformName(name));
    }
}
