package org.vanilladoor.membership;

import java.util.Objects;
import org.vanilladoor.common.HostPort;

/**
 * An entry process as others know it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of its VM
 * @param incarnation names this life of the process; a later one sorts behind an earlier one
 * @param failureDomain failure domain of its VM
 * @param peerAddress where other entries reach it
 * @param heartbeat grows while the process runs
 * @param leaving whether it is about to stop
 */
public record MemberRecord(
        String name,
        String incarnation,
        String failureDomain,
        HostPort peerAddress,
        long heartbeat,
        boolean leaving) {
    public MemberRecord {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }

    /** Returns whether this record is newer than another one of the same VM. */
    boolean isNewerThan(MemberRecord other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && heartbeat > other.heartbeat;
    }
}
