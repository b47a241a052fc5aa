package org.vanilladoor.allowance;

/**
 * How the most that a team may use in any window is divided among the ways in which it can be used.
 *
 * <p>A window of callers' requests sees the fill of a slightly longer time, since advances and
 * waiting requests from before it are used in it. What the tolerance leaves beyond that and the
 * burst is divided in six: three parts for the start levels of new lease holders, of which a window
 * may see three, one for requests larger than the burst, two for units that lie unused in advances.
 * Invariant: the parts add up to at most the bound. Immutable.
 *
 * @param fillPerSecond units per second that all VMs share
 * @param capacity units that may be saved up
 * @param start units that a new lease holder starts with
 * @param oversize units by which a request larger than the capacity may overdraw it
 */
record AllowanceBudget(double fillPerSecond, double capacity, double start, double oversize) {
    /**
     * Validity of an advance (400 ms), the wait of a request for one (250 ms), and 50 ms for clocks
     * that run at different speeds.
     */
    private static final double CARRY_SECONDS = 0.7;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double REST_PARTS = 6;
    private static final double UNUSED_PARTS = 2;
    private static final double START_PART_OF_CAPACITY = 0.25;

    static AllowanceBudget of(Allowance allowance, AllowanceTolerance tolerance) {
        double seconds = tolerance.windowMillis() / MILLIS_PER_SECOND + CARRY_SECONDS;
        double bound = tolerance.bound(allowance);
        double fillPerSecond = Math.min(allowance.ratePerSecond(), bound / seconds);
        double left = Math.max(0, bound - fillPerSecond * seconds);
        double burst = Math.min(allowance.burst(), left);
        double part = (left - burst) / REST_PARTS;
        double start = Math.min(START_PART_OF_CAPACITY * burst, part);
        double unused = Math.min(burst, UNUSED_PARTS * part);
        return new AllowanceBudget(fillPerSecond, burst + unused, start, part);
    }

    /** Returns the share of one of so many VMs, which may overdraw nothing. */
    AllowanceBudget shareOfOne(int vmCount) {
        return new AllowanceBudget(fillPerSecond / vmCount, capacity / vmCount, 0, 0);
    }
}
