package org.vanilladoor.stream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The streams of all VMs' reports, for looking up where one began.
 *
 * <p>Not safe for use by several threads.
 */
final class StreamIndex {
    private final List<IndexedGroup> mGroups = new ArrayList<>();

    private StreamIndex() {}

    static StreamIndex create() {
        return new StreamIndex();
    }

    /**
     * Adds the streams of a report, or none of them if it is invalid.
     *
     * @throws IllegalArgumentException if the report is invalid
     */
    void add(StreamReport report) {
        List<IndexedGroup> groups = new ArrayList<>();
        for (StreamReport.Group group : report.groups()) {
            if (group.service() == null || group.digests() == null) {
                throw new IllegalArgumentException("a group has no service or no digests");
            }
            groups.add(new IndexedGroup(group.origin(), group.sortedDigests()));
        }
        mGroups.addAll(groups);
    }

    /** Returns what the reports say of a stream, or empty if none has it. */
    Optional<StreamBeginning> find(String service, long digest) {
        return mGroups.stream()
                .filter(group -> group.mOrigin.service().equals(service))
                .filter(group -> Arrays.binarySearch(group.mDigests, digest) >= 0)
                .map(group -> group.mOrigin)
                .reduce(StreamBeginning::mergedWith);
    }

    private static final class IndexedGroup {
        private final StreamBeginning mOrigin;
        private final long[] mDigests;

        IndexedGroup(StreamBeginning origin, long[] digests) {
            mOrigin = origin;
            mDigests = digests;
        }
    }
}
