package org.vanilladoor.entry;

import java.util.List;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.membership.MemberRecord;

/**
 * What an entry tells operators of itself.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM
 * @param failureDomain failure domain of the VM
 * @param ready whether it takes requests
 * @param informed whether it hears of withdrawn keys
 * @param configurationVersion version in force
 * @param openCalls calls that are open
 * @param members members it hears
 * @param endpoints endpoints it knows
 * @param leases scopes of its duties
 */
record EntryStatus(
        String name,
        String failureDomain,
        boolean ready,
        boolean informed,
        long configurationVersion,
        int openCalls,
        List<MemberRecord> members,
        List<EndpointView> endpoints,
        List<Lease> leases) {
    EntryStatus {
        members = List.copyOf(members);
        endpoints = List.copyOf(endpoints);
        leases = List.copyOf(leases);
    }

    /** A scope's lease as this process sees it. */
    record Lease(String scope, String holder, long term, boolean held, int openOrders) {}
}
