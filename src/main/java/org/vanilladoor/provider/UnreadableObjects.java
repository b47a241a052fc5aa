package org.vanilladoor.provider;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which versions of objects could not be read, so that each is logged once however often
 * it is listed.
 *
 * <p>Invariant: the number of remembered objects is bounded; the ones asked for least recently are
 * forgotten. Confined to the control thread.
 */
public final class UnreadableObjects {
    private static final int MAXIMUM_OBJECTS = 1_000;

    private final Map<String, Long> mVersions = new BoundedMap();

    private UnreadableObjects() {}

    /** Returns a memory without objects. */
    public static UnreadableObjects create() {
        return new UnreadableObjects();
    }

    /** Remembers a version of an object; returns whether it was not known before. */
    public boolean add(String name, long version) {
        Long known = mVersions.put(name, version);
        return known == null || known != version;
    }

    /** Map that forgets the entry used least recently. */
    private static final class BoundedMap extends LinkedHashMap<String, Long> {
        private static final long serialVersionUID = 1L;

        BoundedMap() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAXIMUM_OBJECTS;
        }
    }
}
