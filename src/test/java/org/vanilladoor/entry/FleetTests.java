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

/** Entries as processes that are killed, frozen and stopped; the stand-ins' records judge. */
class FleetTests {
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);
    private static final String TEAM = "harbour";
    private final ExecutorService mThreads = ThreadPools.newDaemonThreadPool("test");
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
        mThreads.shutdownNow();
    }

    private void awaitReady() throws Exception {
        Eventually.within(
                READY_LIMIT,
                "all entries are ready",
                () -> mEntries.stream().allMatch(EntryProcess::isReady));
    }

    private PlannedCall chat(int tokens) {
        return new PlannedCall(
                TEAM, mFleet.keysByTeam().get(TEAM), "chat", "supper-model", "hello", tokens, "");
    }

    private PlannedCall purchase(String idempotencyKey) {
        return new PlannedCall(
                TEAM,
                mFleet.keysByTeam().get(TEAM),
                "purchase",
                "ticket-desk",
                "one ticket",
                0,
                idempotencyKey);
    }

    private CompletableFuture<CallResult> chatAt(HostPort entry, int tokens) {
        return CompletableFuture.supplyAsync(
                () -> mClient.sendChat(entry, chat(tokens), System.nanoTime()), mThreads);
    }

    private List<String> purchasesRun() {
        List<String> keys = new ArrayList<>();
        for (ServiceStandIn service : mFleet.standIns().services().values()) {
            keys.addAll(service.record().idempotencyKeys());
        }
        return keys;
    }

    @Test
    void aStopUnderStreamsCutsNone() throws Exception {
        List<CompletableFuture<CallResult>> streams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            streams.add(chatAt(mEntries.get(0).callers(), 120));
        }
        Eventually.within(
                Duration.ofSeconds(10),
                "streams run",
                () ->
                        mFleet.standIns().engines().values().stream()
                                        .mapToInt(engine -> engine.record().requests().size())
                                        .sum()
                                >= 10);
        mEntries.get(0).terminate();
        for (CompletableFuture<CallResult> stream : streams) {
            assertThat(stream.join().outcome()).isEqualTo(CallResult.Outcome.ANSWERED);
        }
        mEntries.get(0).await();
        assertThat(
                        mClient.sendChat(mEntries.get(1).callers(), chat(3), System.nanoTime())
                                .outcome())
                .isEqualTo(CallResult.Outcome.ANSWERED);
    }

    @Test
    void purchasesUnderKillsRunAtMostOnceAndEveryOutcomeIsTrue() throws Exception {
        Map<String, List<CallResult.Outcome>> outcomes = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        List<CompletableFuture<Void>> buyers = new ArrayList<>();
        for (int buyer = 0; buyer < 8; buyer++) {
            int number = buyer;
            buyers.add(CompletableFuture.runAsync(() -> buy(number, outcomes, stop), mThreads));
        }
        for (int kill = 0; kill < 4; kill++) {
            int victim = kill % mEntries.size();
            mEntries.get(victim).kill();
            mEntries.set(victim, EntryProcess.start(mFleet.entrySettings(victim)));
            awaitReady();
        }
        stop.set(true);
        buyers.forEach(CompletableFuture::join);
        List<String> run = purchasesRun();
        assertThat(run).containsNoDuplicates();
        assertThat(run.size()).isGreaterThan(20);
        outcomes.forEach(
                (key, results) -> {
                    if (results.contains(CallResult.Outcome.ANSWERED)) {
                        assertThat(run).contains(key);
                    }
                    // The last word on a key is what a caller acts upon.
                    if (results.get(results.size() - 1) == CallResult.Outcome.NOT_RUN) {
                        assertThat(run).doesNotContain(key);
                    }
                });
    }

    /** Buys under one key at changing entries until the outcome is known, then under the next. */
    private void buy(
            int buyer, Map<String, List<CallResult.Outcome>> outcomes, AtomicBoolean stop) {
        for (int number = 0; !stop.get(); number++) {
            String key = "buyer-" + buyer + "-" + number;
            List<CallResult.Outcome> results = new ArrayList<>();
            for (int attempt = 0; attempt < 3; attempt++) {
                HostPort entry = mEntries.get((buyer + number + attempt) % 3).callers();
                CallResult result =
                        mClient.sendServiceCall(entry, purchase(key), System.nanoTime());
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
    void aWithdrawnKeyIsRefusedEverywhereAndItsOpenStreamsEnd() throws Exception {
        String key = mFleet.keysByTeam().get(TEAM);
        CompletableFuture<CallResult> stream = chatAt(mEntries.get(2).callers(), 2_000);
        Eventually.within(
                Duration.ofSeconds(10),
                "the stream runs",
                () ->
                        mFleet.standIns().engines().values().stream()
                                .anyMatch(engine -> !engine.record().requests().isEmpty()));
        try (var operator = operatorOf(0)) {
            assertThat(operator.call("DELETE", "/keys?identifier=" + key.split("_")[1]))
                    .isEqualTo(200);
        }
        Eventually.within(
                Duration.ofSeconds(6),
                "the key is refused everywhere",
                () ->
                        mEntries.stream()
                                .allMatch(
                                        entry ->
                                                mClient.sendChat(
                                                                        entry.callers(),
                                                                        chat(1),
                                                                        System.nanoTime())
                                                                .outcome()
                                                        == CallResult.Outcome.NOT_RUN));
        assertThat(stream.join().outcome()).isEqualTo(CallResult.Outcome.UNKNOWN);
    }

    @Test
    void whileTheObjectApiIsAwayChatsGoOnAndPurchasesAreNeverSaidNotToHaveRunWhenTheyDid()
            throws Exception {
        mClient.sendServiceCall(mEntries.get(0).callers(), purchase("before"), System.nanoTime());
        mFleet.standIns().platform().setFaults(new PlatformFaults(true, false, false, 0, 0));
        for (EntryProcess entry : mEntries) {
            assertThat(mClient.sendChat(entry.callers(), chat(3), System.nanoTime()).outcome())
                    .isEqualTo(CallResult.Outcome.ANSWERED);
        }
        CompletableFuture<CallResult> during =
                CompletableFuture.supplyAsync(
                        () ->
                                mClient.sendServiceCall(
                                        mEntries.get(1).callers(),
                                        purchase("during"),
                                        System.nanoTime()),
                        mThreads);
        assertThat(during.join().outcome()).isEqualTo(CallResult.Outcome.UNKNOWN);
        assertThat(purchasesRun()).doesNotContain("during");
        mFleet.standIns().platform().setFaults(PlatformFaults.NONE);
        Eventually.within(
                Duration.ofSeconds(10),
                "purchases run again",
                () ->
                        mClient.sendServiceCall(
                                                mEntries.get(1).callers(),
                                                purchase("after-" + System.nanoTime()),
                                                System.nanoTime())
                                        .outcome()
                                == CallResult.Outcome.ANSWERED);
        assertThat(purchasesRun()).containsNoDuplicates();
    }

    @Test
    void aFrozenHolderIsReplacedAndNoWindowIsReportedTwice() throws Exception {
        for (int i = 0; i < 20; i++) {
            mClient.sendChat(mEntries.get(i % 3).callers(), chat(5), System.nanoTime());
        }
        Eventually.within(
                Duration.ofSeconds(60),
                "a window is reported",
                () -> !mFleet.standIns().platform().record().usage().isEmpty());
        mEntries.get(0).signal("STOP");
        for (int i = 0; i < 20; i++) {
            mClient.sendChat(mEntries.get(1 + i % 2).callers(), chat(5), System.nanoTime());
        }
        long window = System.currentTimeMillis() / 10_000;
        Eventually.within(
                Duration.ofSeconds(60),
                "a later window is reported",
                () ->
                        mFleet.standIns().platform().record().usage().stream()
                                .anyMatch(report -> report.window() >= window));
        mEntries.get(0).signal("CONT");
        mClient.sendChat(mEntries.get(0).callers(), chat(5), System.nanoTime());
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
    void windowsSealedInALongOutageAreReportedByWhoeverTakesOver() throws Exception {
        mFleet.standIns().platform().setFaults(new PlatformFaults(false, true, false, 0, 0));
        for (int i = 0; i < 10; i++) {
            mClient.sendChat(mEntries.get(i % 3).callers(), chat(5), System.nanoTime());
        }
        String prefix = "usage/" + SealedWindow.shardOf(TEAM) + "/";
        Eventually.within(
                Duration.ofSeconds(150),
                "more windows are sealed than a new holder would read at once",
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
    void aSuccessorOnTheSameMachineSettlesWhatItsPredecessorLeftOpen() throws Exception {
        mEntries.get(1).kill();
        mEntries.get(2).kill();
        mFleet.standIns().platform().setFaults(new PlatformFaults(false, true, false, 0, 0));
        mClient.sendChat(mEntries.get(0).callers(), chat(5), System.nanoTime());
        String lease = "lease/usage-" + SealedWindow.shardOf(TEAM);
        Eventually.within(
                Duration.ofSeconds(60),
                "the right to report is open",
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
    void ofTwoOperatorsWhoApplyAtOnceForTheSameVersionOneIsRefused() throws Exception {
        String targets = Deployment.AL_HABSI.readTargets();
        Map<Integer, Integer> statuses = new HashMap<>();
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int entry = i;
            answers.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try (var operator = operatorOf(entry)) {
                                    return operator.call(
                                            "PUT", "/configuration?expected=1", targets);
                                } catch (IOException e) {
                                    return 0;
                                }
                            },
                            mThreads));
        }
        answers.forEach(answer -> statuses.merge(answer.join(), 1, Integer::sum));
        assertThat(statuses).containsExactly(200, 1, 409, 1);
    }

    @Test
    void aCutOffFailureDomainServesTheTeamsThatAllowItAndRefusesTheOthers() throws Exception {
        mFleet.standIns().platform().setFaults(new PlatformFaults(true, false, false, 0, 0));
        mEntries.get(1).kill();
        mEntries.get(2).kill();
        HostPort alone = mEntries.get(0).callers();
        PlannedCall strict =
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
                        mClient.sendChat(alone, strict, System.nanoTime())
                                .detail()
                                .contains("withdrawals-not-known"));
        assertThat(mClient.sendChat(alone, chat(2), System.nanoTime()).outcome())
                .isEqualTo(CallResult.Outcome.ANSWERED);
    }

    @Test
    void aPeerWithoutTheSystemsCredentialIsRefused() throws Exception {
        try (PeerClient peer = PeerClient.create(mThreads)) {
            CompletableFuture<?> answer =
                    peer.call(
                            mFleet.entrySettings(0).peerAddress(),
                            client -> client.fetchHead("guessed-credential"));
            CompletionException thrown = assertThrows(CompletionException.class, answer::join);
            assertThat(thrown).hasCauseThat().isInstanceOf(PeerRefusal.class);
        }
    }

    private OperatorPort operatorOf(int entry) {
        return new OperatorPort(mEntries.get(entry).operators());
    }
}
