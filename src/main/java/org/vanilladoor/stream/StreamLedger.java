package org.vanilladoor.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanilladoor.common.Json;

/**
 * The streams that began at this VM lately.
 *
 * <p>Invariants: a stream is kept for {@link #KEPT_MILLIS} after it was recorded last, and at most
 * {@link #MAXIMUM_STREAMS} are; the ones recorded first are forgotten first. Only a digest of an
 * identifier is kept. Time is passed in as an argument. Confined to the control thread.
 */
final class StreamLedger {
    /** Time for which a stream is kept after it was recorded, in milliseconds. */
    static final long KEPT_MILLIS = 30_000;

    /** Maximum number of streams that are kept. */
    static final int MAXIMUM_STREAMS = 16_000;

    /** Maximum size of a report as JSON. */
    static final int MAXIMUM_REPORT_BYTES = 200_000;

    private static final int REPORT_FRAME_BYTES = 64;
    private static final int GROUP_FRAME_BYTES = 64;

    /** Length of a digest in Base64, rounded up. */
    private static final int BYTES_PER_STREAM = 11;

    private final Map<Long, Entry> mStreams = new LinkedHashMap<>();
    private final Map<String, Long> mRevisions = new HashMap<>();

    private StreamLedger() {}

    /** Returns a ledger without streams. */
    static StreamLedger create() {
        return new StreamLedger();
    }

    /** Records that a stream began at a version; one that is kept already is kept for longer. */
    void record(String service, long digest, String version, long nowMillis) {
        removeExpired(nowMillis);
        StreamBeginning origin = new StreamBeginning(service, Optional.of(version));
        Entry known = mStreams.remove(digest);
        StreamBeginning merged = known == null ? origin : known.origin().mergedWith(origin);
        mStreams.put(digest, new Entry(merged, nowMillis));
        if (known == null || !known.origin().equals(merged)) {
            mRevisions.merge(service, 1L, Long::sum);
        }
        if (mStreams.size() > MAXIMUM_STREAMS) {
            removeFirst();
        }
    }

    /** Returns what is known of a stream, or empty if it isn't kept. */
    Optional<StreamBeginning> find(long digest, long nowMillis) {
        removeExpired(nowMillis);
        return Optional.ofNullable(mStreams.get(digest)).map(Entry::origin);
    }

    /** Returns a number that has grown if streams of the service were added. */
    long revision(String service) {
        return mRevisions.getOrDefault(service, 0L);
    }

    /** Returns the services of which streams have been recorded, kept or not. */
    List<String> services() {
        return List.copyOf(mRevisions.keySet());
    }

    /**
     * Returns the latest streams of some services, as many as a report may have.
     *
     * @param isIncluded whether the report includes a service
     */
    StreamReport report(Predicate<String> isIncluded, long nowMillis) {
        removeExpired(nowMillis);
        Deque<Map.Entry<Long, Entry>> latestFirst = new ArrayDeque<>();
        mStreams.entrySet().forEach(latestFirst::addFirst);
        Map<StreamBeginning, List<Long>> digests = new LinkedHashMap<>();
        int bytes = REPORT_FRAME_BYTES;
        for (Map.Entry<Long, Entry> stream : latestFirst) {
            StreamBeginning origin = stream.getValue().origin();
            if (!isIncluded.test(origin.service())) {
                continue;
            }
            bytes += BYTES_PER_STREAM + (digests.containsKey(origin) ? 0 : groupBytes(origin));
            if (bytes > MAXIMUM_REPORT_BYTES) {
                break;
            }
            digests.computeIfAbsent(origin, key -> new ArrayList<>()).add(stream.getKey());
        }
        return new StreamReport(
                digests.entrySet().stream()
                        .map(group -> StreamReport.Group.of(group.getKey(), group.getValue()))
                        .toList());
    }

    private static int groupBytes(StreamBeginning origin) {
        return GROUP_FRAME_BYTES
                + Json.write(origin.service()).length
                + Json.write(origin.version().orElse("")).length;
    }

    private void removeExpired(long nowMillis) {
        Iterator<Entry> entries = mStreams.values().iterator();
        while (entries.hasNext() && nowMillis - entries.next().recordedMillis() > KEPT_MILLIS) {
            entries.remove();
        }
    }

    private void removeFirst() {
        Iterator<Long> digests = mStreams.keySet().iterator();
        digests.next();
        digests.remove();
    }

    private record Entry(StreamBeginning origin, long recordedMillis) {}
}
