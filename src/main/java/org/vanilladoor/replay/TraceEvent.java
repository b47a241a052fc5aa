package org.vanilladoor.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * One line of a trace: a call, or a fault of the fleet.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * <p>Components that don't apply to the kind of event are empty or 0.
 *
 * @param at time from the beginning of the trace, in milliseconds
 * @param kind kind of the event
 * @param team team of a call
 * @param workClass class of work of a call
 * @param promptTokens length of a call's prompt
 * @param outputTokens length of a call's response
 * @param prefix name of the prefix that a call's prompt shares with other prompts of the team that
 *     have the same prefix name, or an empty string
 * @param prefixTokens length of the shared prefix
 * @param repeat whether a call is a retry of an earlier one
 * @param target name of the failure domain or endpoint that a fault applies to
 * @param millis for {@code RECLAIM} the notice and for {@code LAG_LOADS} the lag, in milliseconds
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

    /** Returns an event of kind {@link Kind#CALL}. */
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

    /** Returns an event of any other kind. */
    public static TraceEvent fault(long at, Kind kind, String target, long millis) {
        return new TraceEvent(at, kind, "", "", 0, 0, "", 0, false, target, millis);
    }

    /** The kinds of events. */
    public enum Kind {
        /** A call arrives. */
        CALL,
        /** The reclaimable endpoints of a failure domain are terminated after a notice. */
        RECLAIM,
        /** An endpoint crashes and does not come back. */
        LOSE_ENDPOINT,
        /** Load reports lag by the given time from now on. */
        LAG_LOADS
    }
}
