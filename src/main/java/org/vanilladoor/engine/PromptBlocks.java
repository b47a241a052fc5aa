package org.vanilladoor.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.common.Digests;

/**
 * Estimates the length of a prompt and computes the digests of its blocks.
 *
 * <p>A block's digest covers the whole prompt up to the end of the block, so equal digests mean
 * equal prefixes. It also covers a scope, so that prompts of different scopes share no block.
 * Stateless and safe for use by any thread.
 */
public final class PromptBlocks {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CHARACTERS_PER_BLOCK =
            CHARACTERS_PER_TOKEN * EngineProfile.TOKENS_PER_BLOCK;
    private static final int MAXIMUM_BLOCKS = 4_096;

    private PromptBlocks() {}

    /**
     * Returns the text of the prompt in the body of a chat completion or text completion request.
     */
    public static String promptText(JsonNode body) {
        if (body.has("prompt")) {
            return body.path("prompt").asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            text.append(message.path("role").asText()).append('\n');
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }

    /** Returns the estimated number of tokens, at least 1. */
    public static int estimateTokens(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /** Returns the digests of the complete blocks of a prompt, at most {@link #MAXIMUM_BLOCKS}. */
    public static List<Long> digests(String scope, String prompt) {
        List<Long> digests = new ArrayList<>();
        long previousDigest = Digests.placementHash(scope);
        int blocks = Math.min(MAXIMUM_BLOCKS, prompt.length() / CHARACTERS_PER_BLOCK);
        for (int i = 0; i < blocks; i++) {
            int begin = i * CHARACTERS_PER_BLOCK;
            String block = prompt.substring(begin, begin + CHARACTERS_PER_BLOCK);
            previousDigest = Digests.placementHash(previousDigest + ":" + block);
            digests.add(previousDigest);
        }
        return digests;
    }
}
