package org.vanilladoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.generated.PeerRefusal;
import org.vanilladoor.load.CallResult;
import org.vanilladoor.load.CallerClient;
import org.vanilladoor.load.PlannedCall;
import org.vanilladoor.peer.PeerClient;
import org.vanilladoor.provider.UsageReport;
import org.vanilladoor.standin.PlatformFaults;
import org.vanilladoor.standin.ServiceStandIn;
import org.vanilladoor.usage.SealedWindow;

/**
 * Tests entries in separate processes that are killed, suspended and stopped.
 *
 * <p>What was executed and reported is checked against the records of the stand-ins.
 */
class FleetTests {
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);
    private static final String TEAM = "harbour";
    private final ExecutorService mExecutor = ThreadPools.newDaemonThreadPool("test");
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final CallerClient mClient = CallerClient.create();
    private LocalFleet mFleet;

    @BeforeEach
    void startFleet() throws Exception {
        Targets targets = TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets());
        mFleet = LocalFleet.startStandIns(Deployment.AL_HABSI, targets, 3);
        for (int i = 0; i < 3; i++) {
            mEntries.add(EntryProcess.start(mFleet.entrySettings(i)));
        }
        awaitReady();
    }

    @AfterEach
    void stopFleet() {
        mEntries.forEach(EntryProcess::close);
        mFleet.close();
        mClient.close();
        mExecutor.shutdownNow();
    }

    private void awaitReady() throws Exception {
        Eventually.within(
                READY_LIMIT,
                "all entries are ready",
                () -> mEntries.stream().allMatch(EntryProcess::isReady));
    }

    private PlannedCall chatCall(int tokens) {
        return new PlannedCall(
                TEAM, mFleet.keysByTeam().get(TEAM), "chat", "supper-model", "hello", tokens, "");
    }

    private PlannedCall purchaseCall(String idempotencyKey) {
        return new PlannedCall(
                TEAM,
                mFleet.keysByTeam().get(TEAM),
                "purchase",
                "ticket-desk",
                "one ticket",
                0,
                idempotencyKey);
    }

    private CompletableFuture<CallResult> startChat(HostPort entry, int tokens) {
        return CompletableFuture.supplyAsync(
                () -> mClient.sendChat(entry, chatCall(tokens), System.nanoTime()), mExecutor);
    }

    private List<String> executedPurchaseKeys() {
        List<String> keys = new ArrayList<>();
        for (ServiceStandIn service : mFleet.standIns().services().values()) {
            keys.addAll(service.record().idempotencyKeys());
        }
        return keys;
    }

    @Test
    void aGracefulStopLetsOpenStreamsFinish() throws Exception {
        List<CompletableFuture<CallResult>> streams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            streams.add(startChat(mEntries.get(0).callerAddress(), 120));
        }
        Eventually.within(
                Duration.ofSeconds(10),
                "streams are running",
                () ->
                        mFleet.standIns().engines().values().stream()
                                        .mapToInt(engine -> engine.record().requests().size())
                                        .sum()
                                >= 10);
        mEntries.get(0).terminate();
        for (CompletableFuture<CallResult> stream : streams) {
            assertThat(stream.join().outcome()).isEqualTo(CallResult.Outcome.ANSWERED);
        }
        mEntries.get(0).awaitExit();
        assertThat(
                        mClient.sendChat(
                                        mEntries.get(1).callerAddress(),
                                        chatCall(3),
                                        System.nanoTime())
                                .outcome())
                .isEqualTo(CallResult.Outcome.ANSWERED);
    }

    @Test
    void purchasesDuringKillsExecuteAtMostOnceAndReportedOutcomesAreCorrect() throws Exception {
        Map<String, List<CallResult.Outcome>> outcomes = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        List<CompletableFuture<Void>> buyers = new ArrayList<>();
        for (int buyer = 0; buyer < 8; buyer++) {
            int number = buyer;
            buyers.add(
                    CompletableFuture.runAsync(
                            () -> buyRepeatedly(number, outcomes, stop), mExecutor));
        }
        for (int kill = 0; kill < 4; kill++) {
            int killedEntry = kill % mEntries.size();
            mEntries.get(killedEntry).kill();
            mEntries.set(killedEntry, EntryProcess.start(mFleet.entrySettings(killedEntry)));
            awaitReady();
        }
        stop.set(true);
        buyers.forEach(CompletableFuture::join);
        List<String> executed = executedPurchaseKeys();
        assertThat(executed).containsNoDuplicates();
        assertThat(executed.size()).isGreaterThan(20);
        outcomes.forEach(
                (key, results) -> {
                    if (results.contains(CallResult.Outcome.ANSWERED)) {
                        assertThat(executed).contains(key);
                    }
                    // A caller relies on the outcome of the last attempt.
                    if (results.get(results.size() - 1) == CallResult.Outcome.NOT_RUN) {
                        assertThat(executed).doesNotContain(key);
                    }
                });
    }

    /** Buys with one key at different entries, up to three times, and goes on to the next key. */
    private void buyRepeatedly(
            int buyer, Map<String, List<CallResult.Outcome>> outcomes, AtomicBoolean stop) {
        for (int number = 0; !stop.get(); number++) {
            String key = "buyer-" + buyer + "-" + number;
            List<CallResult.Outcome> results = new ArrayList<>();
            for (int attempt = 0; attempt < 3; attempt++) {
                HostPort entry = mEntries.get((buyer + number + attempt) % 3).callerAddress();
                CallResult result =
                        mClient.sendServiceCall(entry, purchaseCall(key), System.nanoTime());
                if (!result.detail().equals("connection refused")) {
                    results.add(result.outcome());
                }
                if (result.outcome() == CallResult.Outcome.ANSWERED) {
                    break;
                }
            }
            if (!results.isEmpty()) {
                outcomes.put(key, results);
            }
        }
    }

    @Test
    void aWithdrawnKeyIsRefusedByAllEntriesAndItsOpenStreamsAreEnded() throws Exception {
        String key = mFleet.keysByTeam().get(TEAM);
        CompletableFuture<CallResult> stream = startChat(mEntries.get(2).callerAddress(), 2_000);
        Eventually.within(
                Duration.ofSeconds(10),
                "the stream is running",
                () ->
                        mFleet.standIns().engines().values().stream()
                                .anyMatch(engine -> !engine.record().requests().isEmpty()));
        try (var operator = operatorPortOf(0)) {
            assertThat(operator.call("DELETE", "/keys?identifier=" + key.split("_")[1]))
                    .isEqualTo(200);
        }
        Eventually.within(
                Duration.ofSeconds(6),
                "all entries refuse the key",
                () ->
                        mEntries.stream()
                                .allMatch(
                                        entry ->
                                                mClient.sendChat(
                                                                        entry.callerAddress(),
                                                                        chatCall(1),
                                                                        System.nanoTime())
                                                                .outcome()
                                                        == CallResult.Outcome.NOT_RUN));
        assertThat(stream.join().outcome()).isEqualTo(CallResult.Outcome.UNKNOWN);
    }

    @Test
    void duringAnObjectStoreOutageChatsAreServedAndNoExecutedPurchaseIsReportedAsNotRun()
            throws Exception {
        mClient.sendServiceCall(
                mEntries.get(0).callerAddress(), purchaseCall("before"), System.nanoTime());
        mFleet.standIns().platform().setFaults(new PlatformFaults(true, false, false, 0, 0));
        for (EntryProcess entry : mEntries) {
            assertThat(
                            mClient.sendChat(entry.callerAddress(), chatCall(3), System.nanoTime())
                                    .outcome())
                    .isEqualTo(CallResult.Outcome.ANSWERED);
        }
        CompletableFuture<CallResult> during =
                CompletableFuture.supplyAsync(
                        () ->
                                mClient.sendServiceCall(
                                        mEntries.get(1).callerAddress(),
                                        purchaseCall("during"),
                                        System.nanoTime()),
                        mExecutor);
        assertThat(during.join().outcome()).isEqualTo(CallResult.Outcome.UNKNOWN);
        assertThat(executedPurchaseKeys()).doesNotContain("during");
        mFleet.standIns().platform().setFaults(PlatformFaults.NONE);
        Eventually.within(
                Duration.ofSeconds(10),
                "purchases are executed again",
                () ->
                        mClient.sendServiceCall(
                                                mEntries.get(1).callerAddress(),
                                                purchaseCall("after-" + System.nanoTime()),
                                                System.nanoTime())
                                        .outcome()
                                == CallResult.Outcome.ANSWERED);
        assertThat(executedPurchaseKeys()).containsNoDuplicates();
    }

    @Test
    void aFrozenLeaseHolderIsReplacedAndNoUsageWindowIsReportedTwice() throws Exception {
        for (int i = 0; i < 20; i++) {
            mClient.sendChat(mEntries.get(i % 3).callerAddress(), chatCall(5), System.nanoTime());
        }
        Eventually.within(
                Duration.ofSeconds(60),
                "a window is reported",
                () -> !mFleet.standIns().platform().record().usage().isEmpty());
        mEntries.get(0).sendSignal("STOP");
        for (int i = 0; i < 20; i++) {
            mClient.sendChat(
                    mEntries.get(1 + i % 2).callerAddress(), chatCall(5), System.nanoTime());
        }
        long window = System.currentTimeMillis() / 10_000;
        Eventually.within(
                Duration.ofSeconds(60),
                "a later window is reported",
                () ->
                        mFleet.standIns().platform().record().usage().stream()
                                .anyMatch(report -> report.window() >= window));
        mEntries.get(0).sendSignal("CONT");
        mClient.sendChat(mEntries.get(0).callerAddress(), chatCall(5), System.nanoTime());
        List<String> reported = new ArrayList<>();
        mFleet.standIns()
                .platform()
                .record()
                .usage()
                .forEach(report -> reported.add(report.team() + "@" + report.window()));
        assertThat(reported).containsNoDuplicates();
        assertThat(new HashSet<>(reported)).isNotEmpty();
    }

    @Test
    void windowsSealedDuringALongOutageAreReportedByTheNextLeaseHolder() throws Exception {
        mFleet.standIns().platform().setFaults(new PlatformFaults(false, true, false, 0, 0));
        for (int i = 0; i < 10; i++) {
            mClient.sendChat(mEntries.get(i % 3).callerAddress(), chatCall(5), System.nanoTime());
        }
        String prefix = "usage/" + SealedWindow.shardOf(TEAM) + "/";
        Eventually.within(
                Duration.ofSeconds(150),
                "at least nine windows are sealed during the outage",
                () -> mFleet.standIns().platform().objects().list(prefix).size() >= 9);
        for (int i = 0; i < 3; i++) {
            mEntries.get(i).kill();
            mEntries.set(i, EntryProcess.start(mFleet.entrySettings(i)));
        }
        mFleet.standIns().platform().setFaults(PlatformFaults.NONE);
        Eventually.within(
                Duration.ofSeconds(90),
                "all calls are reported",
                () ->
                        mFleet.standIns().platform().record().usage().stream()
                                        .filter(report -> report.team().equals(TEAM))
                                        .mapToLong(UsageReport::requests)
                                        .sum()
                                == 10);
    }

    @Test
    void aRestartedEntryCompletesTheOpenReportsOfThePreviousProcessOnItsVm() throws Exception {
        mEntries.get(1).kill();
        mEntries.get(2).kill();
        mFleet.standIns().platform().setFaults(new PlatformFaults(false, true, false, 0, 0));
        mClient.sendChat(mEntries.get(0).callerAddress(), chatCall(5), System.nanoTime());
        String lease = "lease/usage-" + SealedWindow.shardOf(TEAM);
        Eventually.within(
                Duration.ofSeconds(60),
                "an order to report is open",
                () ->
                        mFleet.standIns()
                                .platform()
                                .objects()
                                .read(lease)
                                .filter(
                                        object ->
                                                new String(object.content(), UTF_8)
                                                        .contains("window-"))
                                .isPresent());
        mEntries.get(0).kill();
        mEntries.set(0, EntryProcess.start(mFleet.entrySettings(0)));
        mFleet.standIns().platform().setFaults(PlatformFaults.NONE);
        Eventually.within(
                Duration.ofSeconds(60),
                "the call is reported",
                () ->
                        mFleet.standIns().platform().record().usage().stream()
                                .anyMatch(report -> report.team().equals(TEAM)));
    }

    @Test
    void ofTwoConcurrentChangesToTheSameVersionOneIsRefused() throws Exception {
        String targets = Deployment.AL_HABSI.readTargets();
        Map<Integer, Integer> statuses = new HashMap<>();
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int entry = i;
            responses.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try (var operator = operatorPortOf(entry)) {
                                    return operator.call(
                                            "PUT", "/configuration?expected=1", targets);
                                } catch (IOException e) {
                                    return 0;
                                }
                            },
                            mExecutor));
        }
        responses.forEach(response -> statuses.merge(response.join(), 1, Integer::sum));
        assertThat(statuses).containsExactly(200, 1, 409, 1);
    }

    @Test
    void anIsolatedFailureDomainServesOnlyTeamsThatAreServedWithoutTheStore() throws Exception {
        mFleet.standIns().platform().setFaults(new PlatformFaults(true, false, false, 0, 0));
        mEntries.get(1).kill();
        mEntries.get(2).kill();
        HostPort remainingEntry = mEntries.get(0).callerAddress();
        PlannedCall strictCall =
                new PlannedCall(
                        "sidab",
                        mFleet.keysByTeam().get("sidab"),
                        "chat",
                        "supper-model",
                        "hello",
                        1,
                        "");
        Eventually.within(
                Duration.ofSeconds(30),
                "the strict team is refused",
                () ->
                        mClient.sendChat(remainingEntry, strictCall, System.nanoTime())
                                .detail()
                                .contains("withdrawals-not-known"));
        assertThat(mClient.sendChat(remainingEntry, chatCall(2), System.nanoTime()).outcome())
                .isEqualTo(CallResult.Outcome.ANSWERED);
    }

    @Test
    void aPeerWithoutTheSystemCredentialIsRefused() throws Exception {
        try (PeerClient peer = PeerClient.create(mExecutor)) {
            CompletableFuture<?> response =
                    peer.call(
                            mFleet.entrySettings(0).peerAddress(),
                            client -> client.fetchHead("guessed-credential"));
            CompletionException thrown = assertThrows(CompletionException.class, response::join);
            assertThat(thrown).hasCauseThat().isInstanceOf(PeerRefusal.class);
        }
    }

    private OperatorPortClient operatorPortOf(int entry) {
        return new OperatorPortClient(mEntries.get(entry).operatorAddress());
    }
}
