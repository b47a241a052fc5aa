package org.vanilladoor.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.provider.EndpointDescription;

/**
 * The stand-ins of one process: a platform and its endpoints.
 *
 * <p>Safe for use by any thread once started.
 */
public final class StandInFleet implements AutoCloseable {
    private final Map<String, EngineStandIn> mEngines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> mServices = new LinkedHashMap<>();
    private PlatformStandIn mPlatform;

    private StandInFleet() {}

    /**
     * Starts the endpoints, then the platform that lists them under the addresses in use.
     *
     * @throws IOException if an address can't be bound
     */
    public static StandInFleet start(StandInSettings settings) throws IOException {
        StandInFleet fleet = new StandInFleet();
        List<EndpointDescription> listed = new ArrayList<>();
        for (StandInSettings.StandInEndpoint endpoint : settings.endpoints()) {
            listed.add(fleet.startEndpoint(endpoint));
        }
        fleet.mPlatform = PlatformStandIn.start(settings.platformAddress(), listed);
        settings.machines().forEach(fleet.mPlatform::putMachine);
        return fleet;
    }

    /** Returns the platform. */
    public PlatformStandIn platform() {
        return mPlatform;
    }

    /** Returns an engine by its name. */
    public EngineStandIn engine(String name) {
        return mEngines.get(name);
    }

    /** Returns all engines by name. */
    public Map<String, EngineStandIn> engines() {
        return mEngines;
    }

    /** Returns all plain services by name. */
    public Map<String, ServiceStandIn> services() {
        return mServices;
    }

    @Override
    public void close() {
        mEngines.values().forEach(EngineStandIn::close);
        mServices.values().forEach(ServiceStandIn::close);
        if (mPlatform != null) {
            mPlatform.close();
        }
    }

    private EndpointDescription startEndpoint(StandInSettings.StandInEndpoint endpoint)
            throws IOException {
        EndpointDescription described = endpoint.description();
        HostPort address = described.hostPort();
        HostPort used;
        if (described.engine()) {
            EngineStandIn engine =
                    EngineStandIn.start(
                            address,
                            described.pool(),
                            endpoint.profile(),
                            endpoint.role(),
                            described.checksTerms());
            mEngines.put(described.name(), engine);
            used = engine.address();
        } else {
            ServiceStandIn service = ServiceStandIn.start(address, endpoint.serviceMillis());
            mServices.put(described.name(), service);
            used = service.address();
        }
        return new EndpointDescription(
                described.name(),
                described.pool(),
                described.engine(),
                described.failureDomain(),
                used.toString(),
                described.reclaimable(),
                described.checksTerms(),
                described.leaving(),
                described.costPerHour());
    }
}
