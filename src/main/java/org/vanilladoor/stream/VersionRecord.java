package org.vanilladoor.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The versions at which streams of each service may have begun.
 *
 * <p>Every version has a record in the store before a stream may begin at it, and records aren't
 * deleted, so whoever lists them afterwards knows all versions at which a stream may have begun.
 * The exception is a store that returns from an older copy: records may be gone for good if no
 * process is left that knows them. So a new era is <i>unsettled</i>, and what it lists incomplete,
 * until a process that has observed it for {@link #SETTLING_MILLIS} says otherwise.
 *
 * <p>Invariants: a version once known stays known; a version that is not recorded is never usable.
 * Time is passed in as an argument. Confined to the control thread.
 */
final class VersionRecord {
    /** Time after the beginning of an era in which streams of the era before may go on. */
    static final long SETTLING_MILLIS = 30_000;

    private final Map<String, Set<String>> mKnown = new HashMap<>();

    /** Versions whose records have existed in some era. */
    private final Set<ServiceVersion> mUsable = new HashSet<>();

    /** Versions whose records exist in the present era. */
    private final Set<ServiceVersion> mRecorded = new HashSet<>();

    private long mEra;
    private long mEraBeganMillis;
    private boolean mEverListed;
    private boolean mListedInEra;
    private boolean mSettled;
    private boolean mComplete;

    private VersionRecord() {}

    /** Returns a record without versions, in era 0. */
    static VersionRecord create() {
        return new VersionRecord();
    }

    /** Adds versions that endpoints have. */
    void observe(Map<String, Set<String>> versionsByService) {
        versionsByService.forEach(
                (service, versions) ->
                        mKnown.computeIfAbsent(service, name -> new TreeSet<>()).addAll(versions));
    }

    /** Adds a version that an endpoint has. */
    void observe(ServiceVersion version) {
        mKnown.computeIfAbsent(version.service(), name -> new TreeSet<>()).add(version.version());
    }

    /** Follows the store into its era; does nothing if it is the present one. */
    void followEra(long era, long nowMillis) {
        if (era != mEra) {
            mEra = era;
            mEraBeganMillis = nowMillis;
            mListedInEra = false;
            mSettled = false;
            mRecorded.clear();
        }
    }

    /**
     * Adds all records that the store has in the present era.
     *
     * @param isComplete whether all of them could be read
     * @param isSettled whether the era is known to be settled
     */
    void addListed(List<ServiceVersion> listed, boolean isComplete, boolean isSettled) {
        listed.forEach(this::addRecorded);
        mComplete = isComplete;
        mEverListed = true;
        mListedInEra = true;
        // A store without eras never returns from a copy.
        mSettled = mSettled || isSettled || mEra == 0;
    }

    /** Adds a version whose record exists in the present era. */
    void addRecorded(ServiceVersion version) {
        observe(version);
        mUsable.add(version);
        mRecorded.add(version);
    }

    /** Marks the present era as settled. */
    void settle() {
        mSettled = true;
    }

    /** Returns the known versions that have no record in the present era. */
    Set<ServiceVersion> unrecorded() {
        Set<ServiceVersion> unrecorded = new HashSet<>();
        mKnown.forEach(
                (service, versions) ->
                        versions.stream()
                                .map(version -> new ServiceVersion(service, version))
                                .filter(version -> !mRecorded.contains(version))
                                .forEach(unrecorded::add));
        return unrecorded;
    }

    /** Returns whether a stream may begin at the version. */
    boolean isUsable(ServiceVersion version) {
        return mUsable.contains(version);
    }

    long era() {
        return mEra;
    }

    /** Returns whether the records have been listed by this process. */
    boolean isEverListed() {
        return mEverListed;
    }

    /** Returns whether the records have been listed in the present era. */
    boolean isListedInEra() {
        return mListedInEra;
    }

    /** Returns whether this process may say that the present era is settled. */
    boolean maySettle(long nowMillis) {
        return mListedInEra
                && !mSettled
                && nowMillis - mEraBeganMillis >= SETTLING_MILLIS
                && unrecorded().isEmpty();
    }

    /**
     * Returns the only version at which streams of the service can have begun, or empty if there
     * may be several. Holds for streams that began before the latest listing.
     */
    Optional<String> onlyVersion(String service) {
        Set<String> versions = mKnown.getOrDefault(service, Set.of());
        return mListedInEra && mComplete && mSettled && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }
}
