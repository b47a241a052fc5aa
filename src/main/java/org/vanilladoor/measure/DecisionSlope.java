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
 * Measures the time of a decision against the endpoints and teams that there are.
 *
 * <p>Stateless.
 */
public final class DecisionSlope {
    private static final int CALLS = 20_000;
    private static final int MAXIMUM_OPEN = 280;
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final WorkClass CHAT =
            new WorkClass("chat", WorkKind.INTERACTIVE, 470, 27, 30_000, false, 0.95);

    private DecisionSlope() {}

    /** Prints a row for each number of endpoints and teams. */
    public static void run(PrintStream output) {
        output.println("endpoints  teams  microseconds/call");
        for (int endpoints : new int[] {10, 50, 210, 840}) {
            for (int teams : new int[] {8, 430, 4_300}) {
                measure(endpoints, teams);
                output.printf("%9d  %5d  %17.1f%n", endpoints, teams, measure(endpoints, teams));
            }
        }
    }

    private static double measure(int endpoints, int teams) {
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
                each ->
                        core.recordLoad(
                                each.name(),
                                new LoadReport(EngineRole.MIXED, false, 5, 100, 32, "", false),
                                0));
        List<Decision> open = new ArrayList<>();
        long begin = System.nanoTime();
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
            open.addAll(core.decide(i));
            if (open.size() > Math.min(MAXIMUM_OPEN, endpoints * 20)) {
                Decision ended = open.remove(0);
                core.recordEnd(ended.call().identifier(), Outcome.COMPLETED, 150, i);
            }
        }
        return (System.nanoTime() - begin) / NANOS_PER_MICRO / CALLS;
    }
}
