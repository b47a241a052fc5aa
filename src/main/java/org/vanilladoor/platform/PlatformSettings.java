package org.vanilladoor.platform;

import java.util.Optional;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.PortRange;
import org.vanilladoor.settings.TomlSection;

/**
 * The settings that the platform passes to a process at its start.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param vmName name of the VM
 * @param failureDomain failure domain of the VM, which the platform calls its zone
 * @param callerAddress address to which callers connect
 * @param readinessAddress address at which the platform's load balancer checks readiness
 * @param storeAddress address of the object store
 * @param cloudAddress address of the platform's interface for usage reports and scaling orders, if
 *     there is one
 * @param retryRatio number of retries allowed for each first attempt
 * @param additionalRetries number of retries allowed in addition, for all VMs together in one retry
 *     window
 * @param retryWindowMillis length of the retry window
 * @param usageWindowMillis length of a usage window, or 0 if usage is not reported
 * @param drainNoticeMillis time in which a leaving endpoint has to be noticed
 * @param leaseTurnMillis shortest time in which two VMs may act for the fleet by turns
 * @param graceMillis time from the signal to stop until the platform kills the process
 * @param allowanceTolerance by how much the cost of a team's requests may exceed its allowance
 * @param exchangePorts ports on which the process may listen for the other VMs
 * @param maximumDescriptors file descriptors that the VM allows the process
 */
public record PlatformSettings(
        String vmName,
        String failureDomain,
        HostPort callerAddress,
        HostPort readinessAddress,
        HostPort storeAddress,
        Optional<HostPort> cloudAddress,
        double retryRatio,
        double additionalRetries,
        long retryWindowMillis,
        long usageWindowMillis,
        long drainNoticeMillis,
        long leaseTurnMillis,
        long graceMillis,
        AllowanceTolerance allowanceTolerance,
        PortRange exchangePorts,
        int maximumDescriptors) {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int MAXIMUM_VALUE = 1_000_000_000;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final int DEFAULT_RETRY_WINDOW_SECONDS = 10;
    private static final int DEFAULT_GRACE_SECONDS = 8;
    private static final int DEFAULT_DRAIN_NOTICE_MILLIS = 2_000;
    private static final int DEFAULT_LEASE_TURN_MILLIS = 3_000;

    /**
     * Parses a settings file; unknown keys are ignored.
     *
     * @param file name of the file, for error messages
     * @param text the file's content, in TOML
     * @throws org.vanilladoor.common.InvalidInputException if the settings are invalid; it lists
     *     all errors
     */
    public static PlatformSettings parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        TomlSection listen = root.section("listen");
        TomlSection bounds = root.section("bounds");
        TomlSection cloud = root.section("cloud");
        Optional<HostPort> cloudAddress =
                cloud.optionalText("addr").map(present -> cloud.requiredAddress("addr"));
        PlatformSettings settings =
                new PlatformSettings(
                        root.requiredText("node"),
                        root.requiredText("zone"),
                        listen.requiredAddress("front"),
                        listen.requiredAddress("ready"),
                        root.section("platform").requiredAddress("addr"),
                        cloudAddress,
                        bounds.number("retry_ratio", 0, MAXIMUM_VALUE, DEFAULT_RETRY_RATIO),
                        bounds.number("retry_extra", 0, MAXIMUM_VALUE, 0),
                        toMillis(
                                bounds.number(
                                        "retry_window_s",
                                        0,
                                        MAXIMUM_VALUE,
                                        DEFAULT_RETRY_WINDOW_SECONDS)),
                        toMillis(bounds.number("report_window_s", 0, MAXIMUM_VALUE, 0)),
                        (long)
                                bounds.number(
                                        "drain_ms", 0, MAXIMUM_VALUE, DEFAULT_DRAIN_NOTICE_MILLIS),
                        (long)
                                bounds.number(
                                        "lease_ms", 0, MAXIMUM_VALUE, DEFAULT_LEASE_TURN_MILLIS),
                        toMillis(bounds.number("grace_s", 0, MAXIMUM_VALUE, DEFAULT_GRACE_SECONDS)),
                        allowanceTolerance(bounds),
                        root.portRange("port_range")
                                .or(() -> listen.portRange("port_range"))
                                .or(() -> bounds.portRange("port_range"))
                                .orElse(PortRange.ANY),
                        (int)
                                root.section("limits")
                                        .number("max_fds", 1, MAXIMUM_VALUE, MAXIMUM_VALUE));
        root.throwIfInvalidIgnoringUnknownKeys();
        return settings;
    }

    private static AllowanceTolerance allowanceTolerance(TomlSection bounds) {
        AllowanceTolerance standard = AllowanceTolerance.standard();
        long windowMillis = toMillis(bounds.number("quota_window_s", 0, MAXIMUM_VALUE, 0));
        return new AllowanceTolerance(
                windowMillis > 0 ? windowMillis : standard.windowMillis(),
                bounds.number("quota_excess", 0, MAXIMUM_VALUE, standard.excess()),
                bounds.number("quota_slack", 0, MAXIMUM_VALUE, standard.slack()));
    }

    private static long toMillis(double seconds) {
        return Math.round(seconds * MILLIS_PER_SECOND);
    }
}
