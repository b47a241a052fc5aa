package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * The fleet that a trace is replayed on.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param entries number of entries, which know of each other's work by lagging reports only
 * @param steady number of steady engines
 * @param reclaimable number of engines that may be reclaimed
 * @param failureDomains names of the failure domains
 * @param prefillEngines engines that begin in the prefill role, -1 to begin all mixed
 */
public record ReplayFleet(
        int entries, int steady, int reclaimable, List<String> failureDomains, int prefillEngines) {
    private static final double STEADY_COST = 4.0;
    private static final double RECLAIMABLE_COST = 1.4;
    static final String POOL = "model";

    public ReplayFleet {
        failureDomains = List.copyOf(failureDomains);
    }

    /** Returns the engines. */
    List<EndpointDescription> engines() {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < steady + reclaimable; i++) {
            boolean cheap = i >= steady;
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            POOL,
                            true,
                            failureDomains.get(i % failureDomains.size()),
                            "127.0.0.1:1",
                            cheap,
                            true,
                            false,
                            cheap ? RECLAIMABLE_COST : STEADY_COST));
        }
        return engines;
    }

    /** Returns the role that an engine begins with. */
    EngineRole role(int number) {
        if (prefillEngines < 0) {
            return EngineRole.MIXED;
        }
        return number < prefillEngines ? EngineRole.PREFILL : EngineRole.DECODE;
    }
}
