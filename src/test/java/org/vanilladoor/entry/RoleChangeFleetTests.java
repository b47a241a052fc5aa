package org.vanilladoor.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.load.CallResult;
import org.vanilladoor.load.CallerClient;
import org.vanilladoor.load.PlannedCall;
import org.vanilladoor.standin.EngineStandIn;

/** Tests that a shift to long prompts changes roles in a running fleet and aborts no request. */
class RoleChangeFleetTests {
    private static final int CALLERS = 24;

    @Test
    void aShiftToLongPromptsChangesARoleWithoutAbortingARequest() throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();
        ExecutorService executor = ThreadPools.newDaemonThreadPool("long-prompts");
        try (LocalFleet fleet =
                        LocalFleet.start(
                                Deployment.AL_HABSI,
                                TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets()),
                                3);
                CallerClient client = CallerClient.create()) {
            AtomicInteger number = new AtomicInteger();
            for (int i = 0; i < CALLERS; i++) {
                executor.execute(() -> sendLongPrompts(fleet, client, number, stop, results));
            }
            Eventually.within(
                    Duration.ofSeconds(90),
                    "a role has changed",
                    () ->
                            fleet.standIns().engines().values().stream()
                                    .anyMatch(engine -> !engine.record().orders().isEmpty()));
            stop.set(true);
            List<Integer> abortedRequests = new ArrayList<>();
            for (EngineStandIn engine : fleet.standIns().engines().values()) {
                abortedRequests.add(engine.record().cut());
            }
            assertThat(abortedRequests.stream().mapToInt(Integer::intValue).sum()).isEqualTo(0);
            assertThat(results.stream().map(CallResult::outcome).toList())
                    .doesNotContain(CallResult.Outcome.WRONG);
        } finally {
            stop.set(true);
            executor.shutdownNow();
        }
    }

    private static void sendLongPrompts(
            LocalFleet fleet,
            CallerClient client,
            AtomicInteger number,
            AtomicBoolean stop,
            ConcurrentLinkedQueue<CallResult> results) {
        while (!stop.get()) {
            int call = number.incrementAndGet();
            PlannedCall longPromptCall =
                    new PlannedCall(
                            "harbour",
                            fleet.keysByTeam().get("harbour"),
                            "reading",
                            "supper-model",
                            call + "x".repeat(24_000),
                            4,
                            "");
            results.add(
                    client.sendChat(
                            fleet.entries().get(call % 3).callerAddress(),
                            longPromptCall,
                            System.nanoTime()));
        }
    }
}
