package org.vanilladoor.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.provider.EndpointDescription;

/**
 * The stand-ins that one process runs: a platform and its endpoints.
 *
 * <p>Safe for use by any thread once started.
 */
public final class StandInFleet implements AutoCloseable {
    private final Map<String, EngineStandIn> mEngines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> mServices = new LinkedHashMap<>();
    private PlatformStandIn mPlatform;

    private StandInFleet() {}

    /**
     * Starts the endpoints, then the platform, which lists each endpoint under its bound address.
     *
     * @throws IOException if an address can't be bound
     */
    public static StandInFleet start(StandInSettings settings) throws IOException {
        StandInFleet fleet = new StandInFleet();
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (StandInSettings.StandInEndpoint endpoint : settings.endpoints()) {
            endpoints.add(fleet.startEndpoint(endpoint));
        }
        fleet.mPlatform = PlatformStandIn.start(settings.platformAddress(), endpoints);
        settings.machines().forEach(fleet.mPlatform::putMachine);
        return fleet;
    }

    public PlatformStandIn platform() {
        return mPlatform;
    }

    /** Returns the engine with the given name, or null if there is none. */
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
        EndpointDescription description = endpoint.description();
        HostPort address = description.hostPort();
        HostPort boundAddress;
        if (description.engine()) {
            EngineStandIn engine =
                    EngineStandIn.start(
                            address,
                            description.pool(),
                            endpoint.profile(),
                            endpoint.role(),
                            description.checksTerms());
            mEngines.put(description.name(), engine);
            boundAddress = engine.address();
        } else {
            ServiceStandIn service = ServiceStandIn.start(address, endpoint.serviceMillis());
            mServices.put(description.name(), service);
            boundAddress = service.address();
        }
        return new EndpointDescription(
                description.name(),
                description.pool(),
                description.engine(),
                description.failureDomain(),
                boundAddress.toString(),
                description.reclaimable(),
                description.checksTerms(),
                description.leaving(),
                description.costPerHour());
    }
}
