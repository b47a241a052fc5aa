package org.vanilladoor.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.vanilladoor.common.Json;
import org.vanilladoor.engine.EngineJob;
import org.vanilladoor.engine.PromptBlocks;

/**
 * The texts that stand-in engines answer with.
 *
 * <p>Each answer carries its request's identifier, so that a test can tell whose it is. Stateless
 * and safe for use by any thread.
 */
final class StandInAnswers {
    private StandInAnswers() {}

    static byte[] whole(String model, EngineJob job, JsonNode body) {
        ObjectNode answer = envelope(model, job.identifier(), "chat.completion");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < job.outputTokens(); i++) {
            text.append(token(job.identifier(), i));
        }
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", "stop");
        putUsage(answer, job, body);
        return Json.write(answer);
    }

    static byte[] tokenEvent(String model, String identifier, int index) {
        ObjectNode event = envelope(model, identifier, "chat.completion.chunk");
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", token(identifier, index));
        return event(event);
    }

    static byte[] usageEvent(String model, EngineJob job, JsonNode body) {
        ObjectNode event = envelope(model, job.identifier(), "chat.completion.chunk");
        event.putArray("choices");
        putUsage(event, job, body);
        return event(event);
    }

    private static String token(String identifier, int index) {
        return identifier + ":" + index + " ";
    }

    private static ObjectNode envelope(String model, String identifier, String type) {
        ObjectNode envelope = Json.newObject();
        envelope.put("id", identifier);
        envelope.put("object", type);
        envelope.put("model", model);
        return envelope;
    }

    private static void putUsage(ObjectNode answer, EngineJob job, JsonNode body) {
        int promptTokens = PromptBlocks.estimateTokens(PromptBlocks.promptText(body));
        ObjectNode usage = answer.putObject("usage");
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", job.outputTokens());
        usage.put("total_tokens", promptTokens + job.outputTokens());
    }

    private static byte[] event(ObjectNode event) {
        String json = new String(Json.write(event), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
