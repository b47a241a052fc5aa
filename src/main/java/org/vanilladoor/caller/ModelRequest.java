package org.vanilladoor.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.vanilladoor.common.Json;
import org.vanilladoor.engine.PromptBlocks;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;

/**
 * The parsed body of a request to a model.
 *
 * <p>Immutable, provided that nobody changes the body's bytes. Safe for use by any thread.
 *
 * @param body the body as received
 * @param model name of the model
 * @param prompt text of the prompt
 * @param stream whether the caller asked for a stream
 * @param maximumOutputTokens maximum number of tokens to generate
 */
record ModelRequest(
        byte[] body, String model, String prompt, boolean stream, int maximumOutputTokens) {
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    /**
     * Parses a body.
     *
     * @throws ProblemException if the body is not a valid request to a model
     */
    static ModelRequest parse(byte[] body) {
        JsonNode json = parseObject(body);
        String model = json.path("model").asText();
        if (model.isEmpty()) {
            throw invalid("The request names no model.");
        }
        if (!json.has("prompt") && !json.path("messages").isArray()) {
            throw invalid("The request has neither messages nor a prompt.");
        }
        return new ModelRequest(
                body,
                model,
                PromptBlocks.promptText(json),
                json.path("stream").asBoolean(false),
                Math.max(1, json.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS)));
    }

    /** Returns the number of output tokens that a complete response states, 0 if it states none. */
    int outputTokens(byte[] response) {
        try {
            return Json.readTree(response).path("usage").path("completion_tokens").asInt(0);
        } catch (UncheckedIOException e) {
            return 0;
        }
    }

    private static JsonNode parseObject(byte[] body) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
            JsonNode json = Json.readTree(body);
            if (!json.isObject()) {
                throw invalid("The body is not a JSON object.");
            }
            return json;
        } catch (CharacterCodingException e) {
            throw invalid("The body is not UTF-8.");
        } catch (UncheckedIOException e) {
            throw invalid("The body is not JSON.");
        }
    }

    private static ProblemException invalid(String detail) {
        return new ProblemException(Problem.notRun(400, "invalid-request", detail));
    }
}
