package org.vanilladoor.order;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.dispatch.DispatchCore;

/**
 * Stops and allows new work at endpoints as the holder of their orders asks.
 *
 * <p>Invariant: a request of an older term than the last one about an endpoint changes nothing, so
 * a holder that lost its authority can't open an endpoint again. Belongs to the control thread.
 */
public final class DrainRegistry {
    private final DispatchCore mCore;
    private final Map<String, Long> mTerms = new HashMap<>();

    private DrainRegistry(DispatchCore core) {
        mCore = core;
    }

    /** Returns a desk that stops work in the given core. */
    public static DrainRegistry create(DispatchCore core) {
        return new DrainRegistry(core);
    }

    /**
     * Stops or allows new work at an endpoint.
     *
     * @return whether the request is in force
     */
    public boolean setDrained(String endpoint, long term, boolean drained) {
        if (term < mTerms.getOrDefault(endpoint, 0L)) {
            return false;
        }
        mTerms.put(endpoint, term);
        mCore.drain(endpoint, drained);
        return true;
    }

    /** Returns how many calls of this process are at an endpoint. */
    public int ownRequests(String endpoint) {
        return mCore.ownRequests(endpoint);
    }
}
