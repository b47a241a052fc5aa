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
 * The endpoints that are known.
 *
 * <p>Invariant: an endpoint whose entry is removed while the store is in order is gone at once; one
 * that is missing after an outage of the store stays until {@link #RETURN_MILLIS} after its return,
 * since entries lapse during an outage though their endpoints live. Time goes in; belongs to the
 * control thread.
 */
public final class EndpointDirectory {
    /**
     * How long a lapsed entry may take to come back, in milliseconds. The operators state two
     * seconds; less than that is waited, since a leaving endpoint has to be left within two.
     */
    public static final long RETURN_MILLIS = 1_800;

    private final Map<String, Endpoint> mEndpoints = new TreeMap<>();
    private final Set<String> mMissing = new HashSet<>();
    private boolean mStoreAway;
    private long mReturnEndsMillis = Long.MIN_VALUE;

    private EndpointDirectory() {}

    /** Returns a directory without endpoints. */
    public static EndpointDirectory create() {
        return new EndpointDirectory();
    }

    /** Notes that the store does not answer. */
    public void markStoreUnavailable() {
        mStoreAway = true;
    }

    /** Notes that the store answers. */
    public void markStoreAvailable(long nowMillis) {
        if (mStoreAway) {
            mStoreAway = false;
            mReturnEndsMillis = nowMillis + RETURN_MILLIS;
        }
    }

    /** Takes in the store's full list. */
    public void replaceAll(Collection<Endpoint> listed, long nowMillis) {
        Map<String, Endpoint> byName = new HashMap<>();
        listed.forEach(endpoint -> byName.put(endpoint.name(), endpoint));
        List<String> missing =
                mEndpoints.keySet().stream().filter(name -> !byName.containsKey(name)).toList();
        missing.forEach(name -> remove(name, nowMillis));
        byName.values().forEach(this::put);
    }

    /** Takes in one new or changed entry. */
    public void put(Endpoint endpoint) {
        mEndpoints.put(endpoint.name(), endpoint);
        mMissing.remove(endpoint.name());
    }

    /** Takes in that an entry was removed. */
    public void remove(String name, long nowMillis) {
        if (mStoreAway || nowMillis < mReturnEndsMillis) {
            mMissing.add(name);
        } else {
            mEndpoints.remove(name);
            mMissing.remove(name);
        }
    }

    /** Forgets the endpoints that did not come back after an outage. */
    public void removeMissing(long nowMillis) {
        if (mStoreAway || nowMillis < mReturnEndsMillis) {
            return;
        }
        mMissing.forEach(mEndpoints::remove);
        mMissing.clear();
    }

    /** Returns an endpoint. */
    public Optional<Endpoint> find(String name) {
        return Optional.ofNullable(mEndpoints.get(name));
    }

    /** Returns all endpoints of a service, leaving ones too, by name. */
    public List<Endpoint> findByService(String service) {
        return mEndpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(service))
                .toList();
    }

    /** Returns all endpoints, by name. */
    public List<Endpoint> all() {
        return List.copyOf(mEndpoints.values());
    }
}
