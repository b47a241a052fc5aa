package org.vanilladoor.leader;

/**
 * The work that goes on at a service's endpoints, on average over a second.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param reading prompts that are being read apart, waiting ones among them
 * @param running requests that run
 */
public record Work(double reading, double running) {
    /** Nothing. */
    public static final Work NONE = new Work(0, 0);

    /** Returns the sum. */
    public Work plus(Work other) {
        return new Work(reading + other.reading, running + other.running);
    }

    /** Returns the larger of each. */
    public Work max(Work other) {
        return new Work(Math.max(reading, other.reading), Math.max(running, other.running));
    }

    /**
     * Returns the work to reckon with after the next measurement: a rise counts at once, since
     * engines take seconds to follow it, and a fall by half, so that one quiet second hides
     * nothing.
     */
    public Work followedBy(Work latest) {
        return new Work(
                Math.max(latest.reading, (reading + latest.reading) / 2),
                Math.max(latest.running, (running + latest.running) / 2));
    }
}
