package org.vanilladoor.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The model, the token counts and the shared parts of a prompt; the text is not included.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt in tokens
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param lengthHint the caller's estimate of the number of tokens; may be any number
 * @param parts the prompt's parts in order; only the last one is not shared with other requests
 */
public record PromptMetadata(
        String model,
        long promptTokens,
        long maximumOutputTokens,
        OptionalDouble lengthHint,
        List<Part> parts) {
    public PromptMetadata {
        Objects.requireNonNull(model, "model");
        parts = List.copyOf(parts);
    }

    /** Returns a key that is equal for prompts with the same shared prefix; empty without one. */
    public String affinityKey() {
        return parts.size() < 2 ? "" : model + '/' + parts.get(parts.size() - 2).identifier();
    }

    /**
     * Returns the identifiers of the parts that other requests may share: all but the last one.
     * They are hexadecimal numbers, in lower case.
     */
    public List<String> sharedPartIdentifiers() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(part -> part.identifier().toLowerCase(Locale.ROOT))
                .toList();
    }

    /** Returns the tokens of the prompt and of the longest output together; never negative. */
    public long totalTokens() {
        long sum = Math.max(0, promptTokens) + Math.max(0, maximumOutputTokens);
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    /** Returns the length in tokens of the prefix that other requests share. */
    public long sharedPrefixTokens() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToLong(Part::tokens).sum();
    }

    /**
     * A part of a prompt.
     *
     * @param identifier identifies the prompt up to the end of this part
     * @param tokens length of the part
     */
    public record Part(String identifier, long tokens) {}
}
