package org.vanilladoor.provider;

/**
 * Versions of stored objects, as one number.
 *
 * <p>A store that returns from an older copy gives its revisions out again, but begins a new era. A
 * version has the era in its high bits and the revision in its low ones. Invariant: a later version
 * is a higher number, and two writes never have the same one, whatever the store has lost between
 * them. All versions fit into the 53 bits that every JSON reader keeps. Stores without eras have
 * era 0, so that their versions equal their revisions.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ObjectVersion {
    private static final int REVISION_BITS = 38;
    private static final int ERA_BITS = 15;

    /** Highest era of which a version can be formed. */
    public static final long MAXIMUM_ERA = (1L << ERA_BITS) - 1;

    /** Highest revision of which a version can be formed. */
    public static final long MAXIMUM_REVISION = (1L << REVISION_BITS) - 1;

    private ObjectVersion() {}

    /**
     * Returns the version that a revision has in an era.
     *
     * @throws IllegalArgumentException if one of them is out of range
     */
    public static long of(long era, long revision) {
        boolean isEraValid = era >= 0 && era <= MAXIMUM_ERA;
        if (!isEraValid || revision < 0 || revision > MAXIMUM_REVISION) {
            throw new IllegalArgumentException(
                    "no version has era " + era + " and revision " + revision);
        }
        return era << REVISION_BITS | revision;
    }

    /** Returns the version of an object that does not exist in an era. */
    public static long absentIn(long era) {
        return of(era, ObjectStore.ABSENT);
    }

    /** Returns whether a version is the one of an object that does not exist. */
    public static boolean isAbsent(long version) {
        return revisionOf(version) == ObjectStore.ABSENT;
    }

    public static long eraOf(long version) {
        return version >> REVISION_BITS;
    }

    public static long revisionOf(long version) {
        return version & MAXIMUM_REVISION;
    }
}
