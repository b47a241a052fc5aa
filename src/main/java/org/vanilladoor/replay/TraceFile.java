package org.vanilladoor.replay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.common.Finding;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.common.Json;

/**
 * Reads and writes traces as JSON Lines: one event per line, in the order of time.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class TraceFile {
    private TraceFile() {}

    public static void write(Path file, List<TraceEvent> events) throws IOException {
        List<String> lines = new ArrayList<>();
        for (TraceEvent event : events) {
            lines.add(new String(Json.write(event), StandardCharsets.UTF_8));
        }
        Files.write(file, lines);
    }

    /**
     * Reads a trace.
     *
     * @throws InvalidInputException with a finding for each line that is not a valid event or
     *     earlier than the event before it
     */
    public static List<TraceEvent> read(Path file) throws IOException {
        List<TraceEvent> events = new ArrayList<>();
        List<Finding> findings = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        long previousMillis = Long.MIN_VALUE;
        for (int i = 0; i < lines.size(); i++) {
            try {
                TraceEvent event =
                        Json.read(lines.get(i).getBytes(StandardCharsets.UTF_8), TraceEvent.class);
                if (event.at() < previousMillis) {
                    findings.add(
                            new Finding(
                                    file.toString(),
                                    i + 1,
                                    "at",
                                    "is earlier than the event before"));
                }
                previousMillis = event.at();
                events.add(event);
            } catch (UncheckedIOException e) {
                findings.add(new Finding(file.toString(), i + 1, "", "is not a valid trace event"));
            }
        }
        if (!findings.isEmpty()) {
            throw new InvalidInputException(findings);
        }
        return events;
    }
}
