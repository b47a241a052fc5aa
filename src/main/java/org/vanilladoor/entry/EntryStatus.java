package org.vanilladoor.entry;

import java.util.List;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.membership.MemberRecord;

/**
 * The status of an entry as shown to operators.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM
 * @param failureDomain failure domain of the VM
 * @param ready whether the entry accepts requests
 * @param informed whether the entry learns of withdrawn keys
 * @param configurationVersion version of the configuration in force
 * @param openCalls number of calls in progress
 * @param members entries that are live as seen by this entry, including itself
 * @param endpoints endpoints known to the entry
 * @param leases leases of all scopes as seen by the entry
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

    /**
     * The lease of a scope as last read or written by this process.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param scope name of the scope
     * @param holder name of the holder, empty if the lease is released
     * @param term term of the lease
     * @param held whether this process holds the lease now
     * @param openOrders number of orders in the journal that are not settled
     */
    record Lease(String scope, String holder, long term, boolean held, int openOrders) {}
}
