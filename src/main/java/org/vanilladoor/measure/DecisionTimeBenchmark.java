package org.vanilladoor.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.configuration.WorkKind;
import org.vanilladoor.dispatch.Call;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.dispatch.DispatchCore;
import org.vanilladoor.dispatch.Outcome;
import org.vanilladoor.dispatch.Policies;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * Measures how the time of a dispatch decision grows with the numbers of endpoints and teams.
 *
 * <p>Stateless.
 */
public final class DecisionTimeBenchmark {
    private static final int CALLS = 20_000;
    private static final int MAXIMUM_OPEN_CALLS = 280;
    private static final int MAXIMUM_OPEN_CALLS_PER_ENDPOINT = 20;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final WorkClass CHAT =
            new WorkClass("chat", WorkKind.INTERACTIVE, 470, 27, 30_000, false, 0.95);

    private DecisionTimeBenchmark() {}

    /** Measures several numbers of endpoints and teams and prints a row for each. */
    public static void run(PrintStream output) {
        output.println("endpoints  teams  microseconds/call");
        for (int endpoints : new int[] {10, 50, 210, 840}) {
            for (int teams : new int[] {8, 430, 4_300}) {
                // The first run only warms up the JVM.
                measureMicrosPerCall(endpoints, teams);
                output.printf(
                        "%9d  %5d  %17.1f%n",
                        endpoints, teams, measureMicrosPerCall(endpoints, teams));
            }
        }
    }

    private static double measureMicrosPerCall(int endpoints, int teams) {
        DispatchCore core = DispatchCore.create("d0", Policies.standard(), new SplittableRandom(1));
        List<EndpointDescription> descriptions = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            descriptions.add(
                    new EndpointDescription(
                            "engine-" + i,
                            "model",
                            true,
                            "d" + i % 4,
                            "10.0.0.1:1",
                            false,
                            true,
                            false,
                            4));
        }
        core.setEndpoints(descriptions);
        descriptions.forEach(
                description ->
                        core.recordLoad(
                                description.name(),
                                new LoadReport(EngineRole.MIXED, false, 5, 100, 32, "", false),
                                0));
        List<Decision> openDecisions = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            core.submit(
                    new Call(
                            "call-" + i,
                            "team-" + i % teams,
                            CHAT,
                            "model",
                            400,
                            150,
                            List.of(),
                            false,
                            i));
            openDecisions.addAll(core.decide(i));
            if (openDecisions.size()
                    > Math.min(MAXIMUM_OPEN_CALLS, endpoints * MAXIMUM_OPEN_CALLS_PER_ENDPOINT)) {
                Decision ended = openDecisions.remove(0);
                core.recordEnd(ended.call().identifier(), Outcome.COMPLETED, 150, i);
            }
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / CALLS;
    }
}
