package org.vanilladoor.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanilladoor.provider.StoredObject;

/**
 * Recognizes reports that nobody writes any more.
 *
 * <p>Time is passed in as an argument. Confined to the control thread.
 */
final class ObsoleteReports {
    /** Time without a change after which a report is obsolete, in milliseconds. */
    static final long UNCHANGED_MILLIS = 60_000;

    private final String mOwnName;
    private final Map<String, Sighting> mSightings = new HashMap<>();

    private ObsoleteReports(String ownName) {
        mOwnName = ownName;
    }

    /**
     * Returns a memory without reports.
     *
     * @param ownName name of this VM's report, which is never obsolete
     */
    static ObsoleteReports create(String ownName) {
        return new ObsoleteReports(ownName);
    }

    /** Replaces the reports that exist by those that a listing shows. */
    void observe(List<StoredObject> listed, long nowMillis) {
        Set<String> names = new HashSet<>();
        for (StoredObject object : listed) {
            names.add(object.name());
            Sighting known = mSightings.get(object.name());
            if (known == null || known.version() != object.version()) {
                mSightings.put(object.name(), new Sighting(object.version(), nowMillis));
            }
        }
        mSightings.keySet().retainAll(names);
    }

    /** Returns one obsolete report, if there is any. */
    Optional<String> any(long nowMillis) {
        return mSightings.entrySet().stream()
                .filter(each -> !each.getKey().equals(mOwnName))
                .filter(each -> nowMillis - each.getValue().sinceMillis() >= UNCHANGED_MILLIS)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Forgets a report that was deleted; if it still exists, the next listing shows it. */
    void forget(String name) {
        mSightings.remove(name);
    }

    private record Sighting(long version, long sinceMillis) {}
}
