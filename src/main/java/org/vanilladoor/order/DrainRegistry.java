package org.vanilladoor.order;

import java.util.HashMap;
import java.util.Map;
import org.vanilladoor.dispatch.DispatchCore;

/**
 * Stops and resumes new work at endpoints as requested by the holder of the order lease.
 *
 * <p>Invariant: a request with an older term than the last one for the same endpoint has no effect,
 * so a process that has lost the lease can't resume work at an endpoint. Confined to the control
 * thread.
 */
public final class DrainRegistry {
    private final DispatchCore mDispatch;
    private final Map<String, Long> mLastTerms = new HashMap<>();

    private DrainRegistry(DispatchCore dispatch) {
        mDispatch = dispatch;
    }

    /** Returns a registry that stops and resumes work in the given dispatcher. */
    public static DrainRegistry create(DispatchCore dispatch) {
        return new DrainRegistry(dispatch);
    }

    /**
     * Stops or resumes new work at an endpoint.
     *
     * @param term term of the lease under which the request was made
     * @param drained whether new work is stopped
     * @return whether the request took effect, which it does unless its term is outdated
     */
    public boolean setDrained(String endpoint, long term, boolean drained) {
        if (term < mLastTerms.getOrDefault(endpoint, 0L)) {
            return false;
        }
        mLastTerms.put(endpoint, term);
        mDispatch.setDrained(endpoint, drained);
        return true;
    }

    /** Returns the number of calls that this process has at an endpoint. */
    public int ownRequests(String endpoint) {
        return mDispatch.ownRequests(endpoint);
    }
}
