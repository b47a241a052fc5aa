package org.vanilladoor.standin;

import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.provider.EndpointDescription;
import org.vanilladoor.provider.VirtualMachine;
import org.vanilladoor.settings.TomlSection;

/**
 * The settings of the stand-ins that one process runs.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param platformAddress address at which the platform listens; port 0 selects a free port
 * @param endpoints endpoints, in the order in which they are started
 * @param machines VMs that the platform lists
 */
public record StandInSettings(
        HostPort platformAddress, List<StandInEndpoint> endpoints, List<VirtualMachine> machines) {
    private static final double DEFAULT_COST_PER_HOUR = 4.0;
    private static final int MAXIMUM_DURATION_MILLIS = 60_000;
    private static final int DEFAULT_SERVICE_MILLIS = 5;

    public StandInSettings {
        endpoints = List.copyOf(endpoints);
        machines = List.copyOf(machines);
    }

    /**
     * Parses settings written in TOML.
     *
     * @param file file name that findings refer to
     * @param text content of the file
     * @throws org.vanilladoor.common.InvalidInputException with all findings if the text is invalid
     */
    public static StandInSettings parse(String file, String text) {
        TomlSection top = TomlSection.parse(file, text);
        HostPort platform = top.section("platform").requiredAddress("address");
        List<StandInEndpoint> endpoints = new ArrayList<>();
        for (TomlSection section : top.sections("engine")) {
            endpoints.add(parseEngine(section));
        }
        for (TomlSection section : top.sections("service")) {
            endpoints.add(parseService(section));
        }
        List<VirtualMachine> machines = new ArrayList<>();
        for (TomlSection section : top.sections("machine")) {
            String name = section.requiredText("name");
            machines.add(
                    new VirtualMachine(
                            name,
                            name,
                            section.requiredText("failure_domain"),
                            VirtualMachine.State.LIVE));
        }
        top.throwIfInvalid();
        return new StandInSettings(platform, endpoints, machines);
    }

    private static StandInEndpoint parseEngine(TomlSection section) {
        EngineProfile standard = EngineProfile.standard();
        EngineProfile profile =
                new EngineProfile(
                        section.number(
                                "prefill_tokens_per_second",
                                1,
                                1e9,
                                standard.prefillTokensPerSecond()),
                        section.number(
                                "decode_ms",
                                0.001,
                                MAXIMUM_DURATION_MILLIS,
                                standard.decodeMillis()),
                        section.number(
                                "decode_ms_per_stream",
                                0,
                                MAXIMUM_DURATION_MILLIS,
                                standard.decodeMillisPerStream()),
                        (int) section.integer("streams", 1, 10_000, standard.maximumStreams()),
                        (int) section.integer("cache_blocks", 0, 1_000_000, standard.cacheBlocks()),
                        (int)
                                section.integer(
                                        "role_change_ms",
                                        0,
                                        MAXIMUM_DURATION_MILLIS,
                                        standard.roleChangeMillis()));
        EngineRole role = section.enumConstant("role", EngineRole.class, EngineRole.MIXED);
        return new StandInEndpoint(parseDescription(section, "model", true), profile, role, 0);
    }

    private static StandInEndpoint parseService(TomlSection section) {
        int serviceMillis =
                (int)
                        section.integer(
                                "service_ms", 0, MAXIMUM_DURATION_MILLIS, DEFAULT_SERVICE_MILLIS);
        return new StandInEndpoint(
                parseDescription(section, "service", false),
                EngineProfile.standard(),
                EngineRole.MIXED,
                serviceMillis);
    }

    private static EndpointDescription parseDescription(
            TomlSection section, String poolKey, boolean engine) {
        return new EndpointDescription(
                section.requiredText("name"),
                section.requiredText(poolKey),
                engine,
                section.requiredText("failure_domain"),
                section.requiredAddress("address").toString(),
                section.flag("reclaimable", false),
                section.flag("checks_terms", true),
                false,
                section.number("cost_per_hour", 0, 1e6, DEFAULT_COST_PER_HOUR));
    }

    /**
     * One endpoint to start.
     *
     * <p>Immutable and safe for use by any thread.
     *
     * @param description description that the platform lists
     * @param profile speeds and sizes of an engine; not used by a plain service
     * @param role role that an engine starts in; not used by a plain service
     * @param serviceMillis duration of a call of a plain service, in milliseconds
     */
    public record StandInEndpoint(
            EndpointDescription description,
            EngineProfile profile,
            EngineRole role,
            int serviceMillis) {}
}
