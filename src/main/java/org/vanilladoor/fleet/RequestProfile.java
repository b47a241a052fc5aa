package org.vanilladoor.fleet;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What is known of a request's work before it is sent.
 *
 * <p>Invariant: the figures of callers are reduced to a range in which they can be true. Immutable
 * and safe for use by any thread.
 *
 * @param service service that runs it
 * @param route route on which it arrived
 * @param prefixKey key that prompts with the same shared prefix have in common; empty without one
 * @param promptTokens length of the prompt; 0 for a request to a plain service
 * @param sharedTokens length of the shared prefix
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param lengthHint the caller's estimate of the output, if it states a usable one
 * @param kvCacheTokens capacity of an engine's KV cache; 0 if it is not known
 */
public record RequestProfile(
        String service,
        String route,
        String prefixKey,
        long promptTokens,
        long sharedTokens,
        long maximumOutputTokens,
        OptionalDouble lengthHint,
        long kvCacheTokens) {
    /** Larger than any prompt or output. */
    private static final long MAXIMUM_TOKENS = 10_000_000;

    public RequestProfile {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(prefixKey, "prefixKey");
        promptTokens = clamp(promptTokens, MAXIMUM_TOKENS);
        sharedTokens = clamp(sharedTokens, promptTokens);
        maximumOutputTokens = clamp(maximumOutputTokens, MAXIMUM_TOKENS);
        if (lengthHint.isPresent() && !isUsable(lengthHint.getAsDouble())) {
            lengthHint = OptionalDouble.empty();
        }
    }

    /** Returns the profile of a request without a prompt. */
    public static RequestProfile plain(String service, String route) {
        return new RequestProfile(service, route, "", 0, 0, 0, OptionalDouble.empty(), 0);
    }

    private static long clamp(long value, long maximum) {
        return Math.max(0, Math.min(maximum, value));
    }

    private static boolean isUsable(double hint) {
        return hint >= 1 && hint <= MAXIMUM_TOKENS;
    }

    boolean hasPrompt() {
        return promptTokens > 0;
    }

    /** Returns the tokens for which an engine needs memory at most. */
    long maximumTokens() {
        return promptTokens + maximumOutputTokens;
    }
}
