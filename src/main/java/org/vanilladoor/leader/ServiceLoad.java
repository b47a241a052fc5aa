package org.vanilladoor.leader;

/**
 * The load of the endpoints of one service.
 *
 * <p>Reports of older processes contain the first two figures only; the others are then {@code
 * NONE}, and older processes ignore them. Immutable and safe for use by any thread.
 *
 * @param reading average number of prompts in prefill on a separate engine, including those that
 *     wait for it
 * @param running average number of requests sent to an endpoint that runs them, including those
 *     that it has not begun to answer
 * @param prompts prompts that arrive at, wait for and leave the prefill engines
 * @param generation what the running requests still need
 */
public record ServiceLoad(
        double reading, double running, PromptFlow prompts, GenerationLoad generation) {
    /** No calls. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0);

    public ServiceLoad {
        prompts = prompts == null ? PromptFlow.NONE : prompts;
        generation = generation == null ? GenerationLoad.NONE : generation;
    }

    /** Creates the load that an older process reports. */
    public ServiceLoad(double reading, double running) {
        this(reading, running, PromptFlow.NONE, GenerationLoad.NONE);
    }

    /** Returns the sum by component. */
    public ServiceLoad plus(ServiceLoad other) {
        return new ServiceLoad(
                reading + other.reading,
                running + other.running,
                prompts.plus(other.prompts),
                generation.plus(other.generation));
    }

    /** Returns the maximum of the first two components; the others are this load's. */
    public ServiceLoad max(ServiceLoad other) {
        return new ServiceLoad(
                Math.max(reading, other.reading),
                Math.max(running, other.running),
                prompts,
                generation);
    }

    /** Returns the average number of requests whose endpoint has begun to answer. */
    public double generating() {
        return Math.max(0, running - generation.awaiting);
    }

    /** Returns the average number of prompts at prefill engines. */
    public double prefilling() {
        return Math.max(0, reading - prompts.waiting);
    }

    /**
     * Returns this load smoothed with a newer measurement.
     *
     * <p>A rise counts in full, since engines take seconds to adapt to it. A fall counts by half,
     * so that a single measurement without requests does not hide the load.
     */
    public ServiceLoad smoothedWith(ServiceLoad latest) {
        double smoothedRunning = Math.max(latest.running, (running + latest.running) / 2);
        double smoothedGenerating =
                Math.max(latest.generating(), (generating() + latest.generating()) / 2);
        return new ServiceLoad(
                Math.max(latest.reading, (reading + latest.reading) / 2),
                smoothedRunning,
                prompts.smoothedWith(latest.prompts),
                new GenerationLoad(
                        smoothedRunning - smoothedGenerating,
                        (generation.outputTokens + latest.generation.outputTokens) / 2,
                        (generation.generated + latest.generation.generated) / 2));
    }

    /**
     * Prompts that are prefilled on a separate engine.
     *
     * @param waiting average number that wait for an engine with room
     * @param arriving number that arrive per second
     * @param prefilled number that engines prefill per second
     * @param missed number per second that were refused for want of an engine with room, or got one
     *     only after their objective
     */
    public record PromptFlow(double waiting, double arriving, double prefilled, double missed) {
        /** No prompts. */
        public static final PromptFlow NONE = new PromptFlow(0, 0, 0, 0);

        private PromptFlow plus(PromptFlow other) {
            return new PromptFlow(
                    waiting + other.waiting,
                    arriving + other.arriving,
                    prefilled + other.prefilled,
                    missed + other.missed);
        }

        /**
         * Rates are the latest. Chance differences between the reports of many processes cancel out
         * in the sum; if only falls were delayed, they would add up to a higher rate than there is.
         */
        private PromptFlow smoothedWith(PromptFlow latest) {
            return new PromptFlow(
                    Math.max(latest.waiting, (waiting + latest.waiting) / 2),
                    latest.arriving,
                    latest.prefilled,
                    Math.max(latest.missed, (missed + latest.missed) / 2));
        }
    }

    /**
     * Tokens that the running requests are to get.
     *
     * @param awaiting average number of running requests without a first event; most of them wait
     *     for their KV cache, and some may be at an engine that has crashed
     * @param outputTokens average number of tokens that the running requests may generate
     * @param generated number of tokens of the requests that end per second
     */
    public record GenerationLoad(double awaiting, double outputTokens, double generated) {
        /** No requests. */
        public static final GenerationLoad NONE = new GenerationLoad(0, 0, 0);

        private GenerationLoad plus(GenerationLoad other) {
            return new GenerationLoad(
                    awaiting + other.awaiting,
                    outputTokens + other.outputTokens,
                    generated + other.generated);
        }
    }
}
