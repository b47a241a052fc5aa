package org.vanilladoor.usage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * The stored number of the last usage window up to which a shard is known to be reported.
 *
 * <p>The watermark only avoids reading old windows again; one that is too low costs additional
 * reads and nothing else. Invariant: no unreported window is at or below the watermark. Confined to
 * the control thread.
 */
public final class ReportedWatermark {
    private static final int MAXIMUM_UNREPORTED_PER_READ = 20;
    private final ObjectStore mStore;
    private final int mShard;
    private final String mObjectName;
    private long mWindow = Long.MIN_VALUE;
    private long mVersion = ObjectStore.ABSENT;

    private ReportedWatermark(ObjectStore store, int shard) {
        mStore = store;
        mShard = shard;
        mObjectName = "usage-reported/" + shard;
    }

    /** Returns the watermark of a shard, which is not yet read. */
    public static ReportedWatermark create(ObjectStore store, int shard) {
        return new ReportedWatermark(store, shard);
    }

    /** Reads the watermark; completes with the last window that is known to be reported. */
    public CompletableFuture<Long> read() {
        return mStore.read(mObjectName).thenApply(this::onRead);
    }

    /**
     * Returns the names of the sealed windows to read now: the oldest ones that may be unreported,
     * up to a limit, and the newest one.
     *
     * @param names names of all sealed windows, in ascending order
     * @param reported last window that is known to be reported
     */
    public List<String> namesToRead(List<String> names, long reported) {
        List<String> unreported =
                names.stream()
                        .filter(
                                name ->
                                        name.compareTo(SealedWindow.objectName(mShard, reported))
                                                > 0)
                        .toList();
        int last = names.size();
        List<String> newest = names.subList(Math.max(0, last - 1), last);
        return Stream.concat(
                        unreported.stream().limit(MAXIMUM_UNREPORTED_PER_READ), newest.stream())
                .distinct()
                .toList();
    }

    /** Raises the watermark; if the write fails, a later call stores a higher value. */
    public void advance(long window) {
        if (window <= mWindow) {
            return;
        }
        mWindow = window;
        byte[] content = Long.toString(window).getBytes(StandardCharsets.UTF_8);
        mStore.write(mObjectName, mVersion, content)
                .whenComplete(
                        (version, failure) -> {
                            if (failure == null) {
                                mVersion = version;
                            }
                        });
    }

    private long onRead(Optional<StoredObject> found) {
        mVersion = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        mWindow =
                found.map(object -> new String(object.content(), StandardCharsets.UTF_8))
                        .map(Long::parseLong)
                        .orElse(0L);
        return mWindow;
    }
}
