package org.vanilladoor.allowance;

/**
 * What a team may use of all endpoints together. A team without a limit has no allowance.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param unit what is counted
 * @param ratePerSecond units per second that the team may use for any length of time; above 0
 * @param burst units that a team that has used nothing for a while may use at once; at least 0
 * @param plainTokens cost in tokens of a request that states none
 */
public record Allowance(AllowanceUnit unit, double ratePerSecond, double burst, long plainTokens) {
    public Allowance {
        if (!(ratePerSecond > 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "rate must be above 0 and burst at least 0: " + ratePerSecond + ", " + burst);
        }
    }
}
