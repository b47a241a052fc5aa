package org.vanilladoor.membership;

import java.util.Objects;
import org.vanilladoor.common.HostPort;

/**
 * What an entry process publishes about itself to the other entries.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of its VM
 * @param incarnation identifies one run of the process; sorts after the incarnations of earlier
 *     runs
 * @param failureDomain failure domain of its VM
 * @param peerAddress address at which other entries reach it
 * @param heartbeat counter that increases while the process runs
 * @param leaving whether the process is about to stop
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

    /** Returns whether this record is newer than another record of the same VM. */
    boolean isNewerThan(MemberRecord other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && heartbeat > other.heartbeat;
    }
}
