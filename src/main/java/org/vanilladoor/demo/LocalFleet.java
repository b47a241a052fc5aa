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
 * A deployment in one process: stand-ins and entries that talk over loopback sockets.
 *
 * <p>Used by one thread.
 */
public final class LocalFleet implements AutoCloseable {
    /** Credential that entries, endpoints and the platform share here. */
    public static final String CREDENTIAL = "local-system-credential";

    private static final double STEADY_COST = 4.0;
    private static final int SERVICE_MILLIS = 5;
    private static final long READY_LIMIT_MILLIS = 20_000;
    private final Deployment mDeployment;
    private final Targets mTargets;
    private final Map<String, String> mKeyOfTeam = new HashMap<>();
    private final List<HostPort> mPeerAddresses;
    private final List<Entry> mEntries = new ArrayList<>();
    private final StandInFleet mStandIns;

    private LocalFleet(Deployment deployment, Targets targets, int entries) throws IOException {
        mDeployment = deployment;
        mTargets = targets;
        mPeerAddresses = FreePorts.find(entries);
        mStandIns = StandInFleet.start(standIns(entries));
        seed(mStandIns.platform().objects());
    }

    /**
     * Starts the stand-ins of a deployment and puts a first configuration in force; the entries are
     * left to the caller.
     *
     * @param deployment which one
     * @param targets operators' targets
     * @param entries number of entries that are going to run
     */
    public static LocalFleet startStandIns(Deployment deployment, Targets targets, int entries)
            throws IOException {
        return new LocalFleet(deployment, targets, entries);
    }

    /**
     * Starts a deployment and waits until every entry is ready.
     *
     * @param deployment which one
     * @param targets operators' targets
     * @param entries number of entries
     */
    public static LocalFleet start(Deployment deployment, Targets targets, int entries)
            throws IOException {
        LocalFleet fleet = startStandIns(deployment, targets, entries);
        for (int i = 0; i < entries; i++) {
            fleet.mEntries.add(Entry.start(fleet.entrySettings(i), null));
        }
        fleet.awaitReady();
        return fleet;
    }

    /** Returns the stand-ins. */
    public StandInFleet standIns() {
        return mStandIns;
    }

    /** Returns the entries. */
    public List<Entry> entries() {
        return mEntries;
    }

    /** Returns a key of each team. */
    public Map<String, String> keysByTeam() {
        return mKeyOfTeam;
    }

    /** Returns the settings of an entry by its number. */
    public EntrySettings entrySettings(int number) {
        HostPort any = new HostPort("127.0.0.1", 0);
        return new EntrySettings(
                machineName(number),
                mDeployment.failureDomain(number),
                any,
                mPeerAddresses.get(number),
                any,
                CREDENTIAL,
                mPeerAddresses.subList(0, Math.min(4, mPeerAddresses.size())),
                mStandIns.platform().address(),
                200,
                Duration.ofMillis(100),
                Duration.ofSeconds(30),
                4 * 1_024 * 1_024,
                Duration.ofSeconds(30),
                Optional.empty(),
                "");
    }

    @Override
    public void close() {
        mEntries.forEach(Entry::close);
        mStandIns.close();
    }

    private static String machineName(int number) {
        return "entry-" + number;
    }

    private StandInSettings standIns(int entries) {
        HostPort any = new HostPort("127.0.0.1", 0);
        List<StandInSettings.StandInEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < mDeployment.engines(); i++) {
            endpoints.add(endpoint(i, mDeployment.model(), true));
        }
        for (int i = 0; i < mDeployment.services(); i++) {
            endpoints.add(endpoint(i, mDeployment.service(), false));
        }
        List<VirtualMachine> machines = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            machines.add(
                    new VirtualMachine(
                            machineName(i),
                            machineName(i),
                            mDeployment.failureDomain(i),
                            VirtualMachine.State.LIVE));
        }
        return new StandInSettings(any, endpoints, machines);
    }

    private StandInSettings.StandInEndpoint endpoint(int number, String pool, boolean engine) {
        EndpointDescription description =
                new EndpointDescription(
                        pool + "-" + number,
                        pool,
                        engine,
                        mDeployment.failureDomain(number),
                        "127.0.0.1:0",
                        false,
                        number % 2 == 0,
                        false,
                        STEADY_COST);
        return new StandInSettings.StandInEndpoint(
                description, EngineProfile.standard(), EngineRole.MIXED, SERVICE_MILLIS);
    }

    /** Puts a first configuration with a key for each team into the object API. */
    private void seed(ObjectTable objects) {
        List<KeyRecord> keys = new ArrayList<>();
        for (Team team : mTargets.teams()) {
            IssuedKey issued = IssuedKey.create(team.name(), Identifiers.secureRandom());
            mKeyOfTeam.put(team.name(), issued.key());
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
        long end = System.nanoTime() + READY_LIMIT_MILLIS * 1_000_000;
        while (!mEntries.stream().allMatch(Entry::isReady)) {
            if (System.nanoTime() > end) {
                throw new IOException("entries are not ready in time");
            }
            LockSupport.parkNanos(10_000_000);
        }
    }
}
