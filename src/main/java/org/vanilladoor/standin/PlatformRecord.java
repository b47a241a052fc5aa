package org.vanilladoor.standin;

import java.util.List;
import org.vanilladoor.provider.FleetOrder;
import org.vanilladoor.provider.UsageReport;

/**
 * The requests that the stand-in platform has received, for tests to check.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param writes number of writes of objects that took effect, including all deletions
 * @param calls number of requests to the object API, without those during a simulated outage
 * @param usage usage reports in order of arrival
 * @param orders orders in order of arrival
 */
public record PlatformRecord(
        long writes, long calls, List<UsageReport> usage, List<FleetOrder> orders) {
    public PlatformRecord {
        usage = List.copyOf(usage);
        orders = List.copyOf(orders);
    }
}
