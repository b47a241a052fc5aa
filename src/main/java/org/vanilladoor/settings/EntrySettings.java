package org.vanilladoor.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanilladoor.common.HostPort;

/**
 * Settings of an entry process.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name name of the VM as the platform lists it
 * @param failureDomain failure domain of the VM
 * @param callerAddress address on which it accepts callers
 * @param peerAddress address on which it accepts other entries
 * @param operatorAddress address on which it accepts operators
 * @param systemCredential secret that authenticates the entry to endpoints, the platform and other
 *     entries
 * @param peers addresses of other entries to contact at start
 * @param platformAddress address of the platform's API
 * @param platformCallsPerSecond maximum rate of calls of this entry to the platform
 * @param balancerGrace time that the load balancer needs to detect that an entry is not ready
 * @param drainLimit maximum time to wait for open streams to end at shutdown
 * @param maximumBodyBytes maximum size of a request body
 * @param callerIdle time without data from a caller after which its connection is closed
 * @param tlsKeyStore path of the key store with the server certificate; empty to serve callers
 *     without TLS
 * @param tlsKeyStorePassword password of the key store, or an empty string
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
    private static final int MINIMUM_BODY_LIMIT_BYTES = 1_024;
    private static final int MAXIMUM_BODY_LIMIT_BYTES = 64 * 1_024 * 1_024;
    private static final int DEFAULT_BODY_LIMIT_BYTES = 4 * 1_024 * 1_024;
    private static final int MINIMUM_CREDENTIAL_LENGTH = 16;
    private static final int MAXIMUM_WAIT_MILLIS = 3_600_000;
    private static final int MAXIMUM_CALLS_PER_SECOND = 100_000;
    private static final int DEFAULT_CALLS_PER_SECOND = 100;
    private static final int DEFAULT_BALANCER_GRACE_MILLIS = 1_000;
    private static final int DEFAULT_DRAIN_LIMIT_MILLIS = 120_000;
    private static final int DEFAULT_CALLER_IDLE_MILLIS = 30_000;

    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * Parses settings from TOML.
     *
     * @param file file name to use in error messages
     * @param text content of the file
     * @throws org.vanilladoor.common.InvalidInputException if the text is invalid, with all errors
     *     found
     */
    public static EntrySettings parse(String file, String text) {
        TomlSection root = TomlSection.parse(file, text);
        TomlSection entry = root.section("entry");
        TomlSection platform = root.section("platform");
        TomlSection limits = root.section("limits");
        TomlSection tls = root.section("tls");
        String credential = entry.requiredText("system_credential");
        if (!credential.isEmpty() && credential.length() < MINIMUM_CREDENTIAL_LENGTH) {
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
                        (int)
                                platform.integer(
                                        "calls_per_second",
                                        1,
                                        MAXIMUM_CALLS_PER_SECOND,
                                        DEFAULT_CALLS_PER_SECOND),
                        duration(limits, "balancer_grace_ms", DEFAULT_BALANCER_GRACE_MILLIS),
                        duration(limits, "drain_limit_ms", DEFAULT_DRAIN_LIMIT_MILLIS),
                        (int)
                                limits.integer(
                                        "maximum_body_bytes",
                                        MINIMUM_BODY_LIMIT_BYTES,
                                        MAXIMUM_BODY_LIMIT_BYTES,
                                        DEFAULT_BODY_LIMIT_BYTES),
                        duration(limits, "caller_idle_ms", DEFAULT_CALLER_IDLE_MILLIS),
                        tls.optionalText("key_store"),
                        tls.optionalText("key_store_password").orElse(""));
        root.throwIfInvalid();
        return settings;
    }

    private static Duration duration(TomlSection section, String key, long defaultMillis) {
        return Duration.ofMillis(section.integer(key, 0, MAXIMUM_WAIT_MILLIS, defaultMillis));
    }
}
