package org.vanilladoor.usage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * Remembers up to which window a shard's usage is known to be reported.
 *
 * <p>The mark is a hint that spares reading old windows: a mark that is too low costs reads only.
 * Invariant: a mark never passes a window that is not reported. Belongs to the control thread.
 */
public final class ReportedWatermark {
    private static final int READ_AT_ONCE = 20;
    private final ObjectStore mStore;
    private final int mShard;
    private final String mObject;
    private long mWindow = Long.MIN_VALUE;
    private long mVersion = ObjectStore.ABSENT;

    private ReportedWatermark(ObjectStore store, int shard) {
        mStore = store;
        mShard = shard;
        mObject = "usage-reported/" + shard;
    }

    /** Returns the mark of a shard, not yet read. */
    public static ReportedWatermark create(ObjectStore store, int shard) {
        return new ReportedWatermark(store, shard);
    }

    /** Reads the mark; completes with the last window that is known to be reported. */
    public CompletableFuture<Long> read() {
        return mStore.read(mObject).thenApply(this::take);
    }

    /**
     * Returns the names of the sealed windows to look at now: the oldest that may not be reported,
     * and the newest of all.
     *
     * @param names names of all sealed windows, in order
     * @param reported last window that is known to be reported
     */
    public List<String> namesToRead(List<String> names, long reported) {
        List<String> open =
                names.stream()
                        .filter(
                                name ->
                                        name.compareTo(SealedWindow.objectName(mShard, reported))
                                                > 0)
                        .toList();
        int last = names.size();
        List<String> newest = names.subList(Math.max(0, last - 1), last);
        return Stream.concat(open.stream().limit(READ_AT_ONCE), newest.stream())
                .distinct()
                .toList();
    }

    /** Moves the mark up; a write that fails leaves it for a later one. */
    public void advance(long window) {
        if (window <= mWindow) {
            return;
        }
        mWindow = window;
        byte[] content = Long.toString(window).getBytes(StandardCharsets.UTF_8);
        mStore.write(mObject, mVersion, content)
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                mVersion = version;
                            }
                        });
    }

    private long take(Optional<StoredObject> found) {
        mVersion = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        mWindow =
                found.map(object -> new String(object.content(), StandardCharsets.UTF_8))
                        .map(Long::parseLong)
                        .orElse(0L);
        return mWindow;
    }
}
