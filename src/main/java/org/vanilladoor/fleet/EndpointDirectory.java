package org.vanilladoor.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The known endpoints.
 *
 * <p>Invariants: an endpoint whose entry is removed while the store is available is removed at
 * once. During an outage of the store and for {@link #REAPPEARANCE_GRACE_MILLIS} after it,
 * endpoints whose entries are missing are kept, since entries expire during an outage while their
 * endpoints are still running. Time is passed in as an argument. Confined to the control thread.
 */
public final class EndpointDirectory {
    /**
     * Time for an expired entry to reappear after an outage, in milliseconds. The operators specify
     * two seconds; this is shorter since an endpoint that leaves has to be out of use within two
     * seconds.
     */
    public static final long REAPPEARANCE_GRACE_MILLIS = 1_800;

    private final Map<String, Endpoint> mEndpoints = new TreeMap<>();
    private final Set<String> mMissing = new HashSet<>();
    private boolean mStoreUnavailable;
    private long mGraceEndMillis = Long.MIN_VALUE;

    private EndpointDirectory() {}

    /** Returns a directory without endpoints. */
    public static EndpointDirectory create() {
        return new EndpointDirectory();
    }

    /** Marks the store as unavailable. */
    public void markStoreUnavailable() {
        mStoreUnavailable = true;
    }

    /** Marks the store as available; after an outage, this starts the grace period. */
    public void markStoreAvailable(long nowMillis) {
        if (mStoreUnavailable) {
            mStoreUnavailable = false;
            mGraceEndMillis = nowMillis + REAPPEARANCE_GRACE_MILLIS;
        }
    }

    /**
     * Replaces all endpoints by the full list in the store. An endpoint that is not listed is
     * handled as in {@link #remove}.
     */
    public void replaceAll(Collection<Endpoint> listed, long nowMillis) {
        Map<String, Endpoint> byName = new HashMap<>();
        listed.forEach(endpoint -> byName.put(endpoint.name(), endpoint));
        List<String> missing =
                mEndpoints.keySet().stream().filter(name -> !byName.containsKey(name)).toList();
        missing.forEach(name -> remove(name, nowMillis));
        byName.values().forEach(this::put);
    }

    /** Adds or replaces one endpoint. */
    public void put(Endpoint endpoint) {
        mEndpoints.put(endpoint.name(), endpoint);
        mMissing.remove(endpoint.name());
    }

    /**
     * Removes an endpoint whose entry was removed; during an outage or grace period, marks it as
     * missing instead.
     */
    public void remove(String name, long nowMillis) {
        if (mStoreUnavailable || nowMillis < mGraceEndMillis) {
            mMissing.add(name);
        } else {
            mEndpoints.remove(name);
            mMissing.remove(name);
        }
    }

    /**
     * Removes the endpoints that are still missing when the grace period after an outage has ended.
     */
    public void removeMissing(long nowMillis) {
        if (mStoreUnavailable || nowMillis < mGraceEndMillis) {
            return;
        }
        mMissing.forEach(mEndpoints::remove);
        mMissing.clear();
    }

    /** Returns the endpoint with the given name, or empty if it is unknown. */
    public Optional<Endpoint> find(String name) {
        return Optional.ofNullable(mEndpoints.get(name));
    }

    /** Returns all endpoints of a service, including leaving ones, ordered by name. */
    public List<Endpoint> findByService(String service) {
        return mEndpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(service))
                .toList();
    }

    /** Returns the software versions of the endpoints of each service, including leaving ones. */
    public Map<String, Set<String>> versionsByService() {
        Map<String, Set<String>> versions = new HashMap<>();
        mEndpoints
                .values()
                .forEach(
                        endpoint ->
                                versions.computeIfAbsent(
                                                endpoint.service(), service -> new HashSet<>())
                                        .add(endpoint.version()));
        return versions;
    }

    /** Returns all endpoints, ordered by name. */
    public List<Endpoint> all() {
        return List.copyOf(mEndpoints.values());
    }
}
