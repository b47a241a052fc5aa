package org.vanilladoor.stream;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.vanilladoor.common.EventLog;

/**
 * A search for the version that began one stream, in the store.
 *
 * <p>Another VM may publish the stream a little later than its caller asks for it, so that the
 * search looks several times. Invariants: the search ends with a version or without one, within
 * {@link #TIMEOUT_MILLIS}; the service's only version is taken only from records that were listed
 * after the search began. Confined to the control thread.
 */
final class StreamSearch {
    /** Longest duration of a search in milliseconds. */
    static final long TIMEOUT_MILLIS = 900;

    private static final long LOOK_INTERVAL_MILLIS = 150;
    private static final int MAXIMUM_LOOKS = 3;

    private final VersionRecord mRecord;
    private final VersionRecordExchange mVersions;
    private final StreamReportExchange mReports;
    private final String mService;
    private final OptionalLong mDigest;
    private final LongSupplier mClock;
    private final long mEndMillis;
    private final CompletableFuture<Optional<String>> mResult = new CompletableFuture<>();
    private int mLooks;
    private long mNextLookMillis = Long.MAX_VALUE;

    private StreamSearch(
            VersionRecord record,
            VersionRecordExchange versions,
            StreamReportExchange reports,
            String service,
            OptionalLong digest,
            LongSupplier clock) {
        mRecord = record;
        mVersions = versions;
        mReports = reports;
        mService = service;
        mDigest = digest;
        mClock = clock;
        mEndMillis = clock.getAsLong() + TIMEOUT_MILLIS;
    }

    /**
     * Starts a search.
     *
     * @param digest digest of the stream's identifier, or empty if nobody can have published it
     */
    static StreamSearch start(
            VersionRecord record,
            VersionRecordExchange versions,
            StreamReportExchange reports,
            String service,
            OptionalLong digest,
            LongSupplier clock) {
        StreamSearch search = new StreamSearch(record, versions, reports, service, digest, clock);
        search.look();
        return search;
    }

    CompletableFuture<Optional<String>> result() {
        return mResult;
    }

    boolean isDone() {
        return mResult.isDone();
    }

    /** Looks again when it is time to, and ends the search when its time is over. */
    void tick() {
        long nowMillis = mClock.getAsLong();
        if (nowMillis >= mEndMillis) {
            mResult.complete(Optional.empty());
        } else if (!isDone() && nowMillis >= mNextLookMillis) {
            mNextLookMillis = Long.MAX_VALUE;
            look();
        }
    }

    private void look() {
        mLooks++;
        mVersions
                .refresh()
                .whenComplete((done, failure) -> handleVersions(Optional.ofNullable(failure)));
    }

    private void handleVersions(Optional<Throwable> failure) {
        failure.ifPresent(reason -> logFailure("versions.unread", reason));
        Optional<String> onlyVersion =
                failure.isEmpty() ? mRecord.onlyVersion(mService) : Optional.empty();
        if (onlyVersion.isPresent()) {
            mResult.complete(onlyVersion);
        } else if (!mRecord.isEverListed()) {
            endLook();
        } else if (mDigest.isEmpty()) {
            mResult.complete(Optional.empty());
        } else if (!isDone()) {
            mReports.listStreams().whenComplete(this::handleStreams);
        }
    }

    private void handleStreams(StreamIndex index, Throwable failure) {
        if (failure != null) {
            logFailure("streams.unread", failure);
            endLook();
            return;
        }
        index.find(mService, mDigest.getAsLong())
                .ifPresentOrElse(origin -> mResult.complete(origin.version()), this::endLook);
    }

    private void endLook() {
        if (mLooks < MAXIMUM_LOOKS) {
            mNextLookMillis = mClock.getAsLong() + LOOK_INTERVAL_MILLIS;
        } else {
            mResult.complete(Optional.empty());
        }
    }

    private static void logFailure(String event, Throwable failure) {
        EventLog.write("streams", event, "reason", failure.getMessage());
    }
}
