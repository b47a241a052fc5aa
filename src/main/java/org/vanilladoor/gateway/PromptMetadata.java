package org.vanilladoor.gateway;

import java.util.List;
import java.util.Objects;

/**
 * What a model is to read and at most generate.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param model name of the model
 * @param promptTokens tokens to read
 * @param maximumOutputTokens most tokens to generate
 * @param parts the prompt's parts in order; the last one belongs to this request alone
 */
public record PromptMetadata(
        String model, long promptTokens, long maximumOutputTokens, List<Part> parts) {
    public PromptMetadata {
        Objects.requireNonNull(model, "model");
        parts = List.copyOf(parts);
    }

    /** Returns what requests with the same cached start have in common, or an empty string. */
    public String affinityKey() {
        return parts.size() < 2 ? "" : model + '/' + parts.get(parts.size() - 2).identifier();
    }

    /** Returns the tokens that other requests share. */
    public long sharedPrefixTokens() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToLong(Part::tokens).sum();
    }

    /**
     * A part of a prompt.
     *
     * @param identifier equal for equal parts that follow equal parts
     * @param tokens its length
     */
    public record Part(String identifier, long tokens) {}
}
