package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;

/**
 * The simulated fleet that a trace is replayed on.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param entryCount number of entries
 * @param steadyEngineCount number of engines that can't be reclaimed
 * @param reclaimableEngineCount number of engines that may be reclaimed
 * @param failureDomains names of the failure domains, to which the engines are assigned in turn
 * @param prefillEngineCount number of engines that start in the prefill role while the others start
 *     in the decode role, or {@link #ALL_MIXED}
 */
public record ReplayFleet(
        int entryCount,
        int steadyEngineCount,
        int reclaimableEngineCount,
        List<String> failureDomains,
        int prefillEngineCount) {
    private static final double STEADY_COST_PER_HOUR = 4.0;
    private static final double RECLAIMABLE_COST_PER_HOUR = 1.4;
    static final String POOL = "model";

    /** Value of {@code prefillEngineCount} that starts every engine in the mixed role. */
    static final int ALL_MIXED = -1;

    /** Engines are simulated; nothing is sent to this address. */
    private static final String PLACEHOLDER_ADDRESS = "127.0.0.1:1";

    public ReplayFleet {
        failureDomains = List.copyOf(failureDomains);
    }

    /** Returns the descriptions of the engines, the reclaimable ones last. */
    List<EndpointDescription> engineDescriptions() {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < steadyEngineCount + reclaimableEngineCount; i++) {
            boolean isReclaimable = i >= steadyEngineCount;
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            POOL,
                            true,
                            failureDomains.get(i % failureDomains.size()),
                            PLACEHOLDER_ADDRESS,
                            isReclaimable,
                            true,
                            false,
                            isReclaimable ? RECLAIMABLE_COST_PER_HOUR : STEADY_COST_PER_HOUR));
        }
        return engines;
    }

    /** Returns the role that an engine starts in. */
    EngineRole initialRole(int engineNumber) {
        if (prefillEngineCount < 0) {
            return EngineRole.MIXED;
        }
        return engineNumber < prefillEngineCount ? EngineRole.PREFILL : EngineRole.DECODE;
    }
}
