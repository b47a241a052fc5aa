package org.vanilladoor.fleet;

/**
 * The expected work of one call at an endpoint of normal speed, without waiting.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param promptTokens tokens to prefill
 * @param promptMillis time to prefill them; an engine prefills one prompt after the other
 * @param fetchMillis time to fetch a KV cache
 * @param resultMillis time for the output, or for all the work of a plain service
 * @param isStream whether the result has parts, so that the first one is there before the last
 */
record ExpectedWork(
        double promptTokens,
        double promptMillis,
        double fetchMillis,
        double resultMillis,
        boolean isStream) {
    /**
     * Returns the time for which the call takes one of the endpoint's slots, but for the prompt.
     */
    double slotMillis() {
        return fetchMillis + resultMillis;
    }

    double totalMillis() {
        return promptMillis + slotMillis();
    }

    /** Returns the time to the first part of the result. */
    double firstResultMillis() {
        return promptMillis + fetchMillis + (isStream ? 0 : resultMillis);
    }
}
