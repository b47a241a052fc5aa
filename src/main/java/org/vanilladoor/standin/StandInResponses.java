package org.vanilladoor.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.vanilladoor.common.Json;
import org.vanilladoor.engine.EngineJob;
import org.vanilladoor.engine.PromptBlocks;

/**
 * Encodes the responses of stand-in engines.
 *
 * <p>Each generated token contains the identifier of its request, so that a test can check which
 * request a response belongs to. Stateless and safe for use by any thread.
 */
final class StandInResponses {
    private StandInResponses() {}

    /** Returns a response that isn't streamed, with all tokens and the usage. */
    static byte[] wholeResponse(String model, EngineJob job, JsonNode body) {
        ObjectNode response = newEnvelope(model, job.identifier(), "chat.completion");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < job.outputTokens(); i++) {
            text.append(tokenText(job.identifier(), i));
        }
        ObjectNode choice = response.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", "stop");
        putUsage(response, job, body);
        return Json.write(response);
    }

    /** Returns a server-sent event with one token. */
    static byte[] tokenEvent(String model, String identifier, int index) {
        ObjectNode event = newEnvelope(model, identifier, "chat.completion.chunk");
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", tokenText(identifier, index));
        return encodeEvent(event);
    }

    /** Returns the server-sent event that reports the usage at the end of a stream. */
    static byte[] usageEvent(String model, EngineJob job, JsonNode body) {
        ObjectNode event = newEnvelope(model, job.identifier(), "chat.completion.chunk");
        event.putArray("choices");
        putUsage(event, job, body);
        return encodeEvent(event);
    }

    private static String tokenText(String identifier, int index) {
        return identifier + ":" + index + " ";
    }

    private static ObjectNode newEnvelope(String model, String identifier, String type) {
        ObjectNode envelope = Json.newObject();
        envelope.put("id", identifier);
        envelope.put("object", type);
        envelope.put("model", model);
        return envelope;
    }

    private static void putUsage(ObjectNode response, EngineJob job, JsonNode body) {
        int promptTokens = PromptBlocks.estimateTokens(PromptBlocks.promptText(body));
        ObjectNode usage = response.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", job.outputTokens());
        usage.put("total_tokens", promptTokens + job.outputTokens());
    }

    private static byte[] encodeEvent(ObjectNode event) {
        String json = new String(Json.write(event), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
