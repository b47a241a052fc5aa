package org.vanilladoor.demo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.ConfigurationHead;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.entry.Entry;
import org.vanilladoor.key.IssuedKey;
import org.vanilladoor.key.KeyRecord;
import org.vanilladoor.provider.EndpointDescription;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.VirtualMachine;
import org.vanilladoor.settings.EntrySettings;
import org.vanilladoor.standin.ObjectTable;
import org.vanilladoor.standin.StandInFleet;
import org.vanilladoor.standin.StandInSettings;

/**
 * A deployment in one process: stand-ins and entries that communicate over loopback sockets.
 *
 * <p>Not safe for use by several threads.
 */
public final class LocalFleet implements AutoCloseable {
    /** System credential that the entries show to endpoints, the platform and each other. */
    public static final String CREDENTIAL = "local-system-credential";

    private static final double COST_PER_HOUR = 4.0;
    private static final int SERVICE_MILLIS = 5;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long READY_POLL_NANOS = 10_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int INITIAL_PEERS = 4;
    private static final int PLATFORM_CALLS_PER_SECOND = 200;
    private static final Duration BALANCER_GRACE = Duration.ofMillis(100);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);
    private static final int MAXIMUM_BODY_BYTES = 4 * 1_024 * 1_024;
    private static final Duration CALLER_IDLE_LIMIT = Duration.ofSeconds(30);
    private final Deployment mDeployment;
    private final Targets mTargets;
    private final Map<String, String> mKeysByTeam = new HashMap<>();
    private final List<HostPort> mPeerAddresses;
    private final List<Entry> mEntries = new ArrayList<>();
    private final StandInFleet mStandIns;

    private LocalFleet(Deployment deployment, Targets targets, int entryCount) throws IOException {
        mDeployment = deployment;
        mTargets = targets;
        mPeerAddresses = FreePorts.find(entryCount);
        mStandIns = StandInFleet.start(standInSettings(entryCount));
        writeFirstConfiguration(mStandIns.platform().objects());
    }

    /**
     * Starts the stand-ins of a deployment and stores its first configuration, but starts no
     * entries. The caller starts the entries with the settings from {@link #entrySettings}.
     *
     * @param deployment deployment to run
     * @param targets operators' targets
     * @param entryCount number of entries that the caller will start
     */
    public static LocalFleet startStandIns(Deployment deployment, Targets targets, int entryCount)
            throws IOException {
        return new LocalFleet(deployment, targets, entryCount);
    }

    /**
     * Starts a deployment and waits until every entry is ready.
     *
     * @param deployment deployment to run
     * @param targets operators' targets
     * @param entryCount number of entries to start
     * @throws IOException if an entry can't be started or is not ready within 20 s
     */
    public static LocalFleet start(Deployment deployment, Targets targets, int entryCount)
            throws IOException {
        LocalFleet fleet = startStandIns(deployment, targets, entryCount);
        for (int i = 0; i < entryCount; i++) {
            fleet.mEntries.add(Entry.start(fleet.entrySettings(i), null));
        }
        fleet.awaitReady();
        return fleet;
    }

    /** Returns the stand-ins. */
    public StandInFleet standIns() {
        return mStandIns;
    }

    /** Returns the entries that {@link #start} has started. */
    public List<Entry> entries() {
        return mEntries;
    }

    /** Returns one key of each team by the team's name. */
    public Map<String, String> keysByTeam() {
        return mKeysByTeam;
    }

    /**
     * Returns the settings of the entry with an index from 0 on. Its callers' and operators' ports
     * are assigned by the operating system.
     */
    public EntrySettings entrySettings(int index) {
        HostPort anyPort = new HostPort(LOOPBACK, 0);
        return new EntrySettings(
                vmName(index),
                mDeployment.failureDomain(index),
                anyPort,
                mPeerAddresses.get(index),
                anyPort,
                CREDENTIAL,
                mPeerAddresses.subList(0, Math.min(INITIAL_PEERS, mPeerAddresses.size())),
                mStandIns.platform().address(),
                PLATFORM_CALLS_PER_SECOND,
                BALANCER_GRACE,
                DRAIN_LIMIT,
                MAXIMUM_BODY_BYTES,
                CALLER_IDLE_LIMIT,
                Optional.empty(),
                "");
    }

    @Override
    public void close() {
        mEntries.forEach(Entry::close);
        mStandIns.close();
    }

    private static String vmName(int index) {
        return "entry-" + index;
    }

    private StandInSettings standInSettings(int entryCount) {
        HostPort anyPort = new HostPort(LOOPBACK, 0);
        List<StandInSettings.StandInEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < mDeployment.engineCount(); i++) {
            endpoints.add(standInEndpoint(i, mDeployment.model(), true));
        }
        for (int i = 0; i < mDeployment.serviceEndpointCount(); i++) {
            endpoints.add(standInEndpoint(i, mDeployment.service(), false));
        }
        List<VirtualMachine> vms = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            vms.add(
                    new VirtualMachine(
                            vmName(i),
                            vmName(i),
                            mDeployment.failureDomain(i),
                            VirtualMachine.State.LIVE));
        }
        return new StandInSettings(anyPort, endpoints, vms);
    }

    private StandInSettings.StandInEndpoint standInEndpoint(
            int index, String pool, boolean isEngine) {
        EndpointDescription description =
                new EndpointDescription(
                        pool + "-" + index,
                        pool,
                        isEngine,
                        mDeployment.failureDomain(index),
                        "127.0.0.1:0",
                        false,
                        index % 2 == 0,
                        false,
                        COST_PER_HOUR);
        return new StandInSettings.StandInEndpoint(
                description, EngineProfile.standard(), EngineRole.MIXED, SERVICE_MILLIS);
    }

    /**
     * Creates one key for each team and writes the first configuration into the platform's object
     * store.
     */
    private void writeFirstConfiguration(ObjectTable objects) {
        List<KeyRecord> keys = new ArrayList<>();
        for (Team team : mTargets.teams()) {
            IssuedKey issued = IssuedKey.create(team.name(), Identifiers.secureRandom());
            mKeysByTeam.put(team.name(), issued.key());
            keys.add(issued.record());
        }
        Configuration configuration = Configuration.of(1, List.of("seed"), mTargets, keys);
        configuration
                .partsByDigest()
                .forEach(
                        (digest, content) ->
                                objects.write(
                                        ConfigurationHead.PART_PREFIX + digest,
                                        ObjectStore.ABSENT,
                                        content));
        objects.write(
                ConfigurationHead.OBJECT, ObjectStore.ABSENT, Json.write(configuration.head()));
    }

    private void awaitReady() throws IOException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        while (!mEntries.stream().allMatch(Entry::isReady)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(
                        "not all entries were ready within " + READY_TIMEOUT_MILLIS + " ms");
            }
            LockSupport.parkNanos(READY_POLL_NANOS);
        }
    }
}
