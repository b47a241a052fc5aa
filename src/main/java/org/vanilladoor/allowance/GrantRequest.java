package org.vanilladoor.allowance;

import java.util.List;

/**
 * What a VM sends to the holder of the fleet's lease: that it lives, what it wants and what it
 * returns. Every heartbeat is such a request, mostly without entries.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param vm name of the sender
 * @param incarnation tells the sender's process from earlier ones of the same VM
 * @param sequence number of the request, one more than that of the process's last one
 * @param term term of the holder to which the sender lends its share of all rates; 0 if the sender
 *     lends it to none
 * @param entries the teams for which the sender wants or returns something
 */
public record GrantRequest(
        String vm, String incarnation, long sequence, long term, List<Entry> entries) {
    public GrantRequest {
        entries = List.copyOf(entries);
    }

    /**
     * What a VM wants and returns for one team. A team with requests of different sizes has two
     * entries: the first for the largest request, the second for all others.
     *
     * @param team name of the team
     * @param wanted cost of all requests that wait, and of those that are expected
     * @param needed the least that is of use: the cost of the smallest of these requests that
     *     waits; 0 if none waits
     * @param returned rest of expired advances and cost of requests that did not run
     */
    public record Entry(String team, double wanted, double needed, double returned) {}
}
