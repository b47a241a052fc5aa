package org.vanilladoor.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.gateway.StreamOrigins;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObjectLister;

/**
 * Knows the version that began each stream, also of streams that began at other VMs or in earlier
 * processes.
 *
 * <p>The versions of each service are recorded in the store before streams begin at them. While a
 * service has one version, every stream of it began there, and nothing is stored for a stream. Once
 * it has several, each VM publishes the streams that began at it. Invariant: a version is returned
 * only if it is certain that the stream began at it, whatever the store does. Confined to the
 * control thread.
 */
public final class StoredStreamOrigins implements StreamOrigins {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long MINIMUM_WRITE_INTERVAL_MILLIS = 100;
    private static final long WRITE_INTERVAL_MILLIS_PER_VM = 10;
    private static final long MINIMUM_LISTING_INTERVAL_MILLIS = 50;
    private static final long LISTING_INTERVAL_MILLIS_PER_VM = 1;

    private final VersionRecord mRecord = VersionRecord.create();
    private final StreamLedger mLedger = StreamLedger.create();
    private final VersionRecordExchange mVersions;
    private final StreamReportExchange mReports;
    private final Supplier<Map<String, Set<String>>> mVersionsInService;
    private final LongSupplier mClock;
    private final List<StreamSearch> mSearches = new ArrayList<>();

    private StoredStreamOrigins(
            ObjectStore store,
            StoredObjectLister lister,
            Fleet fleet,
            LongSupplier clock,
            RandomGenerator random) {
        CallPace listingPace =
                new CallPace(
                        MINIMUM_LISTING_INTERVAL_MILLIS,
                        LISTING_INTERVAL_MILLIS_PER_VM,
                        fleet.vmCount());
        CallPace writePace =
                new CallPace(
                        MINIMUM_WRITE_INTERVAL_MILLIS,
                        WRITE_INTERVAL_MILLIS_PER_VM,
                        fleet.vmCount());
        mVersions =
                VersionRecordExchange.create(mRecord, store, lister, listingPace, clock, random);
        mReports =
                StreamReportExchange.create(
                        mLedger,
                        service -> mRecord.onlyVersion(service).isEmpty(),
                        store,
                        lister,
                        fleet.incarnation(),
                        new StreamReportExchange.Paces(writePace, listingPace),
                        clock);
        mVersionsInService = fleet.versionsInService();
        mClock = clock;
    }

    /** Returns origins that call the store only when {@link #tick} or {@link #find} is called. */
    static StoredStreamOrigins create(
            ObjectStore store,
            StoredObjectLister lister,
            Fleet fleet,
            LongSupplier clock,
            RandomGenerator random) {
        return new StoredStreamOrigins(store, lister, fleet, clock, random);
    }

    /**
     * Starts to follow the versions in service.
     *
     * @param store keeps the versions and streams
     * @param lister lists them
     * @param random spreads the VMs' calls
     */
    public static StoredStreamOrigins start(
            ControlLoop control,
            ObjectStore store,
            StoredObjectLister lister,
            Fleet fleet,
            RandomGenerator random) {
        StoredStreamOrigins origins =
                create(store, lister, fleet, MonotonicClock::nowMillis, random);
        control.execute(origins::tick);
        control.scheduleWithFixedDelay(TICK_INTERVAL, origins::tick);
        return origins;
    }

    /** Starts the calls that are due and ends the searches whose time is over. */
    void tick() {
        mRecord.observe(mVersionsInService.get());
        mVersions.tick();
        if (mRecord.isEverListed()) {
            mReports.tick();
        }
        // A search that ends may lead to another one.
        List.copyOf(mSearches).forEach(StreamSearch::tick);
        mSearches.removeIf(StreamSearch::isDone);
    }

    @Override
    public void recordBegun(String stream, String service, String version) {
        mRecord.observe(new ServiceVersion(service, version));
        StreamIdentifiers.digest(service, stream)
                .ifPresent(digest -> mLedger.record(service, digest, version, mClock.getAsLong()));
        if (mRecord.isEverListed()) {
            mReports.publish();
        }
    }

    @Override
    public boolean mayBeginAt(String service, String version) {
        return mRecord.isUsable(new ServiceVersion(service, version));
    }

    @Override
    public CompletableFuture<Optional<String>> find(String stream, String service) {
        OptionalLong digest = StreamIdentifiers.digest(service, stream);
        Optional<StreamBeginning> own =
                digest.isPresent()
                        ? mLedger.find(digest.getAsLong(), mClock.getAsLong())
                        : Optional.empty();
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(own.get().version());
        }
        StreamSearch search =
                StreamSearch.start(mRecord, mVersions, mReports, service, digest, mClock);
        if (!search.isDone()) {
            mSearches.add(search);
        }
        return search.result()
                .whenComplete(
                        (version, failure) ->
                                EventLog.write(
                                        "streams",
                                        "search.ended",
                                        "stream",
                                        stream,
                                        "service",
                                        service,
                                        "version",
                                        version.orElse("unknown")));
    }

    /**
     * The fleet, as far as the origins of streams depend on it.
     *
     * @param versionsInService supplies the versions of the known endpoints of each service
     * @param vmCount supplies the number of VMs
     * @param incarnation identifier of this run of the process, which begins with the VM's name
     */
    public record Fleet(
            Supplier<Map<String, Set<String>>> versionsInService,
            IntSupplier vmCount,
            String incarnation) {}
}
