package org.vanilladoor.allowance;

import java.util.List;

/**
 * The holder's reply to a {@link GrantRequest}.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param term the holder's term
 * @param sequence number of the request
 * @param entries one for each entry of the request, unless the request came twice or too late
 */
public record GrantReply(long term, long sequence, List<Entry> entries) {
    public GrantReply {
        entries = List.copyOf(entries);
    }

    /**
     * What the holder grants to one team on one VM.
     *
     * @param team name of the team
     * @param granted units that the VM may use until 400 ms after it sent the request
     * @param millisUntilRoom time until there is room for what was needed; 0 if it was granted
     */
    public record Entry(String team, double granted, long millisUntilRoom) {}
}
