package org.vanilladoor.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * One line of a trace: a call, or something that happens to the fleet.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param at time from the begin of the trace in milliseconds
 * @param kind what happens
 * @param team team of a call
 * @param workClass class of a call
 * @param promptTokens length of a call's prompt
 * @param outputTokens length of a call's answer
 * @param prefix names the shared begin of a call's prompt, or an empty string
 * @param prefixTokens length of that begin
 * @param repeat whether a call repeats an earlier one
 * @param target failure domain or endpoint that something happens to
 * @param millis length of what happens, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceEvent(
        long at,
        Kind kind,
        String team,
        String workClass,
        int promptTokens,
        int outputTokens,
        String prefix,
        int prefixTokens,
        boolean repeat,
        String target,
        long millis) {
    public TraceEvent {
        Objects.requireNonNull(kind, "kind");
        team = Objects.requireNonNullElse(team, "");
        workClass = Objects.requireNonNullElse(workClass, "");
        prefix = Objects.requireNonNullElse(prefix, "");
        target = Objects.requireNonNullElse(target, "");
    }

    /** Returns a call. */
    public static TraceEvent call(
            long at,
            String team,
            String workClass,
            int promptTokens,
            int outputTokens,
            String prefix,
            int prefixTokens,
            boolean repeat) {
        return new TraceEvent(
                at,
                Kind.CALL,
                team,
                workClass,
                promptTokens,
                outputTokens,
                prefix,
                prefixTokens,
                repeat,
                "",
                0);
    }

    /** Returns something that happens to the fleet. */
    public static TraceEvent fault(long at, Kind kind, String target, long millis) {
        return new TraceEvent(at, kind, "", "", 0, 0, "", 0, false, target, millis);
    }

    /** What happens. */
    public enum Kind {
        CALL,
        /** The reclaimable endpoints of a failure domain go, after some milliseconds of notice. */
        RECLAIM,
        /** An endpoint crashes and is gone. */
        LOSE_ENDPOINT,
        /** Load reports lag by some milliseconds from now on. */
        LAG_LOADS
    }
}
