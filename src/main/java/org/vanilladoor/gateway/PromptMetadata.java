package org.vanilladoor.gateway;

import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import org.vanilladoor.common.Digests;

/**
 * The model, the token counts and the shared parts of a prompt; the text is not included.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt in tokens
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param lengthHint the caller's estimate of the number of tokens; may be any number
 * @param parts the prompt's parts
 */
public record PromptMetadata(
        String model,
        long promptTokens,
        long maximumOutputTokens,
        OptionalDouble lengthHint,
        PromptParts parts) {
    /** A key is kept longer than its request; a longer one is replaced by its digest. */
    private static final int MAXIMUM_KEY_LENGTH = 256;

    public PromptMetadata {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(parts, "parts");
    }

    /** Returns a key that is equal for prompts with the same shared prefix; empty without one. */
    public String affinityKey() {
        String identifier = parts.lastSharedIdentifier();
        if (identifier.isEmpty()) {
            return "";
        }
        String key = model + '/' + identifier;
        return key.length() <= MAXIMUM_KEY_LENGTH ? key : Digests.sha256(key);
    }

    /**
     * Returns the identifiers of the parts that other requests may share: all but the last one.
     * They are hexadecimal numbers, in lower case.
     */
    public List<String> sharedPartIdentifiers() {
        return parts.sharedIdentifiers();
    }

    /** Returns the tokens of the prompt and of the longest output together; never negative. */
    public long totalTokens() {
        long sum = Math.max(0, promptTokens) + Math.max(0, maximumOutputTokens);
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    /** Returns the length in tokens of the prefix that other requests share. */
    public long sharedPrefixTokens() {
        return parts.sharedTokens();
    }
}
