package org.vanilladoor.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * What one VM knows about the prompt parts that were in use when engines crashed.
 *
 * <p>Reports of several VMs are combined by union, so that they may arrive late, repeatedly and in
 * any order. Immutable and safe for use by any thread.
 *
 * @param parts the suspected parts, by identifier
 */
public record CrashReport(Map<String, Part> parts) {
    public CrashReport {
        parts = parts == null ? Map.of() : Map.copyOf(parts);
    }

    /**
     * The evidence about one part.
     *
     * @param crashes engines that crashed while a request with the part was about to be answered
     * @param cleared those of them that later answers to requests with the part have outweighed
     * @param trials identifiers of the requests that were let through to find out whether the part
     *     still crashes engines
     * @param answers about how many requests with the part were answered on one VM before
     */
    public record Part(Set<String> crashes, Set<String> cleared, Set<String> trials, int answers) {
        public Part {
            crashes = crashes == null ? Set.of() : Set.copyOf(crashes);
            cleared = cleared == null ? Set.of() : Set.copyOf(cleared);
            trials = trials == null ? Set.of() : Set.copyOf(trials);
        }
    }
}
