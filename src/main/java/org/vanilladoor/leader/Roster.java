package org.vanilladoor.leader;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.vanilladoor.common.HostPort;

/**
 * Summary of all processes that the holder of the fleet lease publishes, so that the other
 * processes need not list all reports themselves.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param beat heartbeat number; increases with each write
 * @param living number of live processes
 * @param candidates names of the report objects of the processes that may acquire the lease
 * @param exchange address at which the holder listens for the other VMs, or null if it does not;
 *     left out of the stored object then
 */
public record Roster(
        long beat,
        int living,
        List<String> candidates,
        @JsonInclude(JsonInclude.Include.NON_NULL) String exchange) {
    public Roster {
        if (living < 1) {
            throw new IllegalArgumentException("living is not positive: " + living);
        }
        candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }

    /** Creates a roster of a holder that does not listen for other VMs. */
    public Roster(long beat, int living, List<String> candidates) {
        this(beat, living, candidates, null);
    }

    /** Returns the same roster with the address at which the holder listens, if it does. */
    Roster withExchange(Optional<HostPort> address) {
        return new Roster(beat, living, candidates, address.map(HostPort::toString).orElse(null));
    }

    /** Returns the address at which the holder listens; empty if it does not or it is invalid. */
    Optional<HostPort> exchangeAddress() {
        try {
            return Optional.ofNullable(exchange).map(HostPort::parse);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
