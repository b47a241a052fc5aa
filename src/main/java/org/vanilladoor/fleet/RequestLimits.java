package org.vanilladoor.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.EventLog;

/**
 * Keeps all VMs together within the limits that endpoints state.
 *
 * <p>Each VM has an equal share of the requests that an endpoint takes in a window. The share is
 * seldom a whole number; its fraction is the probability with which a hash of VM and endpoint
 * grants the VM one request more. So a limit below one request per VM is used by a few VMs, which
 * differ from endpoint to endpoint, without any exchange between them. A VM knows of a limit from
 * the responses that it receives. One without a share receives none; it learns of the end of a
 * limit from one with a share, or tries the endpoint again after a time that grows with the fleet.
 *
 * <p>Invariant: the expected sum over all VMs in any window is the stated limit. What the operators
 * allow beyond it is room for the chance in it and for a number of VMs that is out of date. Does no
 * I/O; time is passed in as an argument. Confined to the control thread.
 */
public final class RequestLimits {
    /** Length of the window in which requests are counted. */
    public static final long WINDOW_MILLIS = 4_000;

    /** Shortest time per VM after which a VM without news of a limit tries the endpoint again. */
    private static final long TRIAL_MILLIS_PER_VM = 2_000;

    /** Time without a limit after which it has ended for good. */
    private static final long END_CONFIRMATION_MILLIS = 1_000;

    /** Time over which the VMs spread their announcements, so that one is seen by the others. */
    private static final long ANNOUNCEMENT_SPREAD_MILLIS = 8_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Scales the upper 53 bits of a hash to a fraction. */
    private static final double FRACTION_UNIT = 0x1.0p-53;

    private static final int UNUSED_HASH_BITS = 11;
    private final String mVmName;
    private final IntSupplier mVmCount;
    private final Map<String, EndpointLimit> mLimits = new HashMap<>();

    private RequestLimits(String vmName, IntSupplier vmCount) {
        mVmName = vmName;
        mVmCount = vmCount;
    }

    /**
     * Returns limits for endpoints that have stated none.
     *
     * @param vmName name of this VM
     * @param vmCount supplies the number of VMs that may be sending requests
     */
    public static RequestLimits create(String vmName, IntSupplier vmCount) {
        return new RequestLimits(vmName, vmCount);
    }

    /** Records a request of any kind that is about to be sent. */
    public void recordSent(Endpoint endpoint, long nowMillis) {
        limit(endpoint).recordSent(nowMillis);
    }

    /** Records what a response of the endpoint says about its limit. */
    public void recordStatement(Endpoint endpoint, StatedLimit stated, long nowMillis) {
        if (limit(endpoint).recordStatement(stated, nowMillis)) {
            logChange(endpoint);
        }
    }

    /** Returns whether this VM may send the endpoint a request now. */
    public boolean hasRoom(Endpoint endpoint, long nowMillis) {
        return millisUntilRoom(endpoint, nowMillis) == 0;
    }

    /** Returns the time until this VM may send the endpoint a request, or 0. */
    public long millisUntilRoom(Endpoint endpoint, long nowMillis) {
        EndpointLimit limit = limit(endpoint);
        if (!limit.isLimited()) {
            return 0;
        }
        int allowed = allowedInWindow(endpoint, limit);
        if (limit.sentInWindow(nowMillis) < allowed) {
            return 0;
        }
        long trialMillis = trialMillis(endpoint, limit);
        long roomMillis =
                allowed > 0
                        ? Math.min(trialMillis, limit.oldestLeavesMillis(nowMillis))
                        : trialMillis;
        return Math.max(0, roomMillis - nowMillis);
    }

    /** Returns whether the endpoint takes a limited rate of requests, as far as this VM knows. */
    public boolean isLimited(Endpoint endpoint) {
        return limit(endpoint).isLimited();
    }

    /** Ends the limit of an endpoint because another VM has seen its end. */
    public void endLimit(String endpoint) {
        EndpointLimit limit = mLimits.get(endpoint);
        if (limit != null) {
            limit.endLimit();
        }
    }

    /**
     * Returns the endpoints whose limit has ended some time ago, for the VMs that have no share and
     * so receive no responses; each end is returned once, unless another VM was faster.
     */
    public List<String> takeEndedToAnnounce(long nowMillis) {
        List<String> ended = new ArrayList<>();
        mLimits.forEach(
                (name, limit) -> {
                    if (isDueForAnnouncement(name, limit, nowMillis)) {
                        limit.endLimit();
                        ended.add(name);
                    }
                });
        return ended;
    }

    private boolean isDueForAnnouncement(String endpoint, EndpointLimit limit, long nowMillis) {
        if (limit.endedMillis().isEmpty()) {
            return false;
        }
        double spread = fraction("announce", endpoint, limit.startMillis());
        long delayMillis = END_CONFIRMATION_MILLIS + (long) (spread * ANNOUNCEMENT_SPREAD_MILLIS);
        return nowMillis - limit.endedMillis().getAsLong() >= delayMillis;
    }

    /** Removes endpoints that are no longer listed. */
    public void removeUnlisted(Predicate<String> isListed) {
        mLimits.keySet().removeIf(name -> !isListed.test(name));
    }

    private int allowedInWindow(Endpoint endpoint, EndpointLimit limit) {
        double ofAllVms = limit.requestsPerSecond() * WINDOW_MILLIS / MILLIS_PER_SECOND;
        double ofThisVm = Math.min(Integer.MAX_VALUE / 2, ofAllVms / Math.max(1, vmCount()));
        int whole = (int) ofThisVm;
        return whole + (fraction("share", endpoint) < ofThisVm - whole ? 1 : 0);
    }

    /** The times differ from VM to VM, so that few of them try in the same window. */
    private long trialMillis(Endpoint endpoint, EndpointLimit limit) {
        double spread = 1 + fraction("trial", endpoint);
        double intervalMillis = spread * TRIAL_MILLIS_PER_VM * vmCount();
        return limit.contactMillis() + (long) intervalMillis;
    }

    private int vmCount() {
        return Math.max(1, mVmCount.getAsInt());
    }

    /** Returns a number from 0 to 1 that is the same each time. */
    private double fraction(String purpose, Endpoint endpoint) {
        return fraction(purpose, endpoint.name(), endpoint.startMillis());
    }

    private double fraction(String purpose, String endpoint, long startMillis) {
        String text = String.join("\u0000", purpose, mVmName, endpoint, Long.toString(startMillis));
        return (Digests.placementHash(text) >>> UNUSED_HASH_BITS) * FRACTION_UNIT;
    }

    private EndpointLimit limit(Endpoint endpoint) {
        EndpointLimit known = mLimits.get(endpoint.name());
        if (known == null || known.startMillis() != endpoint.startMillis()) {
            known = new EndpointLimit(endpoint.startMillis());
            mLimits.put(endpoint.name(), known);
        }
        return known;
    }

    private void logChange(Endpoint endpoint) {
        EndpointLimit limit = limit(endpoint);
        EventLog.write(
                "endpoints",
                limit.isLimited() ? "limit.stated" : "limit.ended",
                "endpoint",
                endpoint.name(),
                "per_second",
                limit.requestsPerSecond(),
                "own_in_window",
                limit.isLimited() ? allowedInWindow(endpoint, limit) : "-",
                "vms",
                vmCount());
    }
}
