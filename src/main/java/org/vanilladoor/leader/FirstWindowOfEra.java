package org.vanilladoor.leader;

import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoredObject;

/**
 * The first usage window that may be sealed in an era of the store.
 *
 * <p>Earlier windows may have been sealed and reported before the era began, although the store has
 * no such object any more. The first lease holder of the era stores the window, and later ones read
 * it. Invariants: in the first era of a store every window may be sealed; in a later one none that
 * can have ended before the era began; the window of an era never falls. Confined to the control
 * thread.
 */
final class FirstWindowOfEra {
    private static final String OBJECT_PREFIX = "usage-era/";

    /** How far the clocks of two VMs may differ. */
    private static final long CLOCK_MARGIN_MILLIS = 3_000;

    /**
     * How far the clock of another VM is followed, so that one clock that is far ahead doesn't end
     * the reports of an era.
     */
    private static final long MAXIMUM_CLOCK_LAG_MILLIS = 60_000;

    private final WriteOnceObjects mObjects;
    private final UsageCounter mUsageCounter;
    private long mEra;
    private long mWindow = Long.MIN_VALUE;
    private long mUnreadableVersion = ObjectStore.ABSENT;

    FirstWindowOfEra(WriteOnceObjects objects, UsageCounter usageCounter) {
        mObjects = objects;
        mUsageCounter = usageCounter;
    }

    /** Returns whether the first window of an era is known. */
    boolean isKnownIn(long era) {
        return mEra == era;
    }

    /** Returns whether a window may be sealed in the last era of which this is known. */
    boolean maySeal(long window) {
        return window >= mWindow;
    }

    /**
     * Reads the first window of an era, after having stored it if no process has.
     *
     * @param wallMillis wall-clock time of this VM
     * @param latestWallMillis latest time that any VM is known to have had
     */
    CompletableFuture<Void> determine(long era, long wallMillis, long latestWallMillis) {
        long othersMillis = Math.min(latestWallMillis, wallMillis + MAXIMUM_CLOCK_LAG_MILLIS);
        long latestMillis = Math.max(wallMillis, othersMillis);
        long window = mUsageCounter.windowAt(latestMillis + CLOCK_MARGIN_MILLIS);
        boolean isUnreadable = ObjectVersion.eraOf(mUnreadableVersion) == era;
        long expectedVersion = isUnreadable ? mUnreadableVersion : ObjectVersion.absentIn(era);
        return mObjects.writeOrRead(
                        OBJECT_PREFIX + era, expectedVersion, Json.write(new Content(window)))
                .thenAccept(object -> use(object, era));
    }

    /** Uses a stored window; one that can't be read is replaced by a later one. */
    private void use(StoredObject object, long era) {
        try {
            mWindow = Json.read(object.content(), Content.class).firstWindow();
            mEra = era;
            EventLog.write("usage", "era.began", "era", era, "first_window", mWindow);
        } catch (UncheckedIOException e) {
            mUnreadableVersion = object.version();
            throw e;
        }
    }

    /** Content of the object of an era. */
    private record Content(Long firstWindow) {
        Content {
            Objects.requireNonNull(firstWindow, "firstWindow");
        }
    }
}
