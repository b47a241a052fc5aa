package org.vanilladoor.platform;

import java.util.Optional;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.settings.TomlSection;

/**
 * What the platform tells a process at its start.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param machine name of the VM
 * @param failureDomain failure domain of the VM
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether new connections are welcome
 * @param store address of the object store
 * @param cloud address of the interface for usage and fleet orders, if there is one
 * @param retryRatio repeats allowed for each first try
 * @param retryExtra repeats allowed besides, for all VMs in one window
 * @param retryWindowMillis length of that window
 * @param usageWindowMillis length of a usage window, or 0 if none is to be reported
 * @param graceMillis time from the request to stop until the process is killed
 */
public record PlatformSettings(
        String machine,
        String failureDomain,
        HostPort callerAddress,
        HostPort readinessAddress,
        HostPort store,
        Optional<HostPort> cloud,
        double retryRatio,
        double retryExtra,
        long retryWindowMillis,
        long usageWindowMillis,
        long graceMillis) {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int LARGEST = 1_000_000_000;

    /**
     * Returns the settings in a file.
     *
     * @param file name for the findings
     * @param text the file's text
     * @throws org.vanilladoor.common.InvalidInputException with everything that is wrong
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
                        bounds.number("retry_ratio", 0, LARGEST, 0.1),
                        bounds.number("retry_extra", 0, LARGEST, 0),
                        millis(bounds.number("retry_window_s", 0, LARGEST, 10)),
                        millis(bounds.number("report_window_s", 0, LARGEST, 0)),
                        millis(bounds.number("grace_s", 0, LARGEST, 8)));
        root.throwIfInvalidIgnoringUnknownKeys();
        return settings;
    }

    private static long millis(double seconds) {
        return Math.round(seconds * MILLIS_PER_SECOND);
    }
}
