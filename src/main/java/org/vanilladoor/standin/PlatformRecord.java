package org.vanilladoor.standin;

import java.util.List;
import org.vanilladoor.provider.FleetOrder;
import org.vanilladoor.provider.UsageReport;

/**
 * What reached the stand-in platform, for tests to judge.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param writes writes that took effect
 * @param calls all calls of the object API
 * @param usage usage reports in the order of their arrival
 * @param orders orders in the order of their arrival
 */
public record PlatformRecord(
        long writes, long calls, List<UsageReport> usage, List<FleetOrder> orders) {
    public PlatformRecord {
        usage = List.copyOf(usage);
        orders = List.copyOf(orders);
    }
}
