package org.vanilladoor.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanilladoor.common.HostPort;

/**
 * The settings of one entry process.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM as the platform lists it
 * @param failureDomain failure domain of the VM
 * @param callerAddress where callers connect
 * @param peerAddress where other entries connect
 * @param operatorAddress where operators connect
 * @param systemCredential secret shown to endpoints, the platform and other entries
 * @param peers addresses of some other entries to begin with
 * @param platformAddress where the platform answers
 * @param platformCallsPerSecond limit of this entry's calls to the platform
 * @param balancerGrace how long the balancer needs to notice that an entry is not ready
 * @param drainLimit longest wait for streams to end at a stop
 * @param maximumBodyBytes longest body of a request
 * @param callerIdle longest silence of a caller before its connection is closed
 * @param tlsKeyStore key store with the certificate shown to callers, if they use TLS
 * @param tlsKeyStorePassword password of the key store, or empty
 */
public record EntrySettings(
        String name,
        String failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort operatorAddress,
        String systemCredential,
        List<HostPort> peers,
        HostPort platformAddress,
        int platformCallsPerSecond,
        Duration balancerGrace,
        Duration drainLimit,
        int maximumBodyBytes,
        Duration callerIdle,
        Optional<String> tlsKeyStore,
        String tlsKeyStorePassword) {
    private static final int SMALLEST_BODY_LIMIT = 1_024;
    private static final int LARGEST_BODY_LIMIT = 64 * 1_024 * 1_024;
    private static final int DEFAULT_BODY_LIMIT = 4 * 1_024 * 1_024;
    private static final int SHORTEST_CREDENTIAL = 16;
    private static final int LONGEST_WAIT_MILLIS = 3_600_000;

    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * Returns the settings written in TOML.
     *
     * @param file name for the findings
     * @param text the file's text
     * @throws org.vanilladoor.common.InvalidInputException with every finding
     */
    public static EntrySettings parse(String file, String text) {
        TomlSection top = TomlSection.parse(file, text);
        TomlSection entry = top.section("entry");
        TomlSection platform = top.section("platform");
        TomlSection limits = top.section("limits");
        TomlSection tls = top.section("tls");
        String credential = entry.requiredText("system_credential");
        if (!credential.isEmpty() && credential.length() < SHORTEST_CREDENTIAL) {
            entry.addFinding("system_credential", "is shorter than 16 characters");
        }
        EntrySettings settings =
                new EntrySettings(
                        entry.requiredText("name"),
                        entry.requiredText("failure_domain"),
                        entry.requiredAddress("caller_address"),
                        entry.requiredAddress("peer_address"),
                        entry.requiredAddress("operator_address"),
                        credential,
                        entry.addressList("peers"),
                        platform.requiredAddress("address"),
                        (int) platform.integer("calls_per_second", 1, 100_000, 100),
                        millis(limits, "balancer_grace_ms", 1_000),
                        millis(limits, "drain_limit_ms", 120_000),
                        (int)
                                limits.integer(
                                        "maximum_body_bytes",
                                        SMALLEST_BODY_LIMIT,
                                        LARGEST_BODY_LIMIT,
                                        DEFAULT_BODY_LIMIT),
                        millis(limits, "caller_idle_ms", 30_000),
                        tls.optionalText("key_store"),
                        tls.optionalText("key_store_password").orElse(""));
        top.throwIfInvalid();
        return settings;
    }

    private static Duration millis(TomlSection section, String key, long defaultMillis) {
        return Duration.ofMillis(section.integer(key, 0, LONGEST_WAIT_MILLIS, defaultMillis));
    }
}
