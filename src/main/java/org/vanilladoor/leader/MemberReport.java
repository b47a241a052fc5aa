package org.vanilladoor.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The report that each process writes to the store for the other processes.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param machine name of the process's VM
 * @param incarnation identifier of this run of the process
 * @param wallMillis wall-clock time up to which the counts are complete, in milliseconds since 1970
 * @param usage number of requests that began to run, by usage window and team
 * @param work load of each service's endpoints, by name of the service
 * @param initialSizes number of endpoints of each scaled service before any was ordered, by name of
 *     the service, if this process has been the lease holder; reports of older processes have none
 */
public record MemberReport(
        String machine,
        String incarnation,
        long wallMillis,
        Map<Long, Map<String, Long>> usage,
        Map<String, ServiceLoad> work,
        Map<String, Integer> initialSizes) {
    public MemberReport {
        Objects.requireNonNull(machine, "machine");
        Objects.requireNonNull(incarnation, "incarnation");
        usage = usage == null ? Map.of() : copyOf(usage);
        work = work == null ? Map.of() : Map.copyOf(work);
        initialSizes = initialSizes == null ? Map.of() : Map.copyOf(initialSizes);
    }

    /** Creates the report of a process that has not scaled any service. */
    public MemberReport(
            String machine,
            String incarnation,
            long wallMillis,
            Map<Long, Map<String, Long>> usage,
            Map<String, ServiceLoad> work) {
        this(machine, incarnation, wallMillis, usage, work, Map.of());
    }

    /** Copies the maps of all windows; fails if one contains null. */
    private static Map<Long, Map<String, Long>> copyOf(Map<Long, Map<String, Long>> usage) {
        Map<Long, Map<String, Long>> copy = new HashMap<>();
        usage.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
        return Map.copyOf(copy);
    }
}
