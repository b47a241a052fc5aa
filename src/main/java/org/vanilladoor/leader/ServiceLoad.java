package org.vanilladoor.leader;

/**
 * The average number of calls at the endpoints of one service.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param reading prompts in prefill on a separate engine, including those that wait for it
 * @param running requests that are running
 */
public record ServiceLoad(double reading, double running) {
    /** No calls. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0);

    /** Returns the sum by component. */
    public ServiceLoad plus(ServiceLoad other) {
        return new ServiceLoad(reading + other.reading, running + other.running);
    }

    /** Returns the maximum by component. */
    public ServiceLoad max(ServiceLoad other) {
        return new ServiceLoad(Math.max(reading, other.reading), Math.max(running, other.running));
    }

    /**
     * Returns this load smoothed with a newer measurement.
     *
     * <p>A rise counts in full, since engines take seconds to adapt to it. A fall counts by half,
     * so that a single measurement without requests does not hide the load.
     */
    public ServiceLoad smoothedWith(ServiceLoad latest) {
        return new ServiceLoad(
                Math.max(latest.reading, (reading + latest.reading) / 2),
                Math.max(latest.running, (running + latest.running) / 2));
    }
}
