package org.vanilladoor.leader;

import java.util.Map;
import java.util.Objects;

/**
 * What one process tells the others through the store.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param machine name of its VM
 * @param incarnation identity of the process
 * @param wallMillis wall time up to which its counts are complete
 * @param usage requests that began to run, by window and team
 * @param work work at each service's endpoints
 */
public record MemberReport(
        String machine,
        String incarnation,
        long wallMillis,
        Map<Long, Map<String, Long>> usage,
        Map<String, Work> work) {
    public MemberReport {
        Objects.requireNonNull(machine, "machine");
        Objects.requireNonNull(incarnation, "incarnation");
        usage = usage == null ? Map.of() : Map.copyOf(usage);
        work = work == null ? Map.of() : Map.copyOf(work);
    }
}
