package org.vanilladoor.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The deployments that a demonstration or replay can use, with their current sizes.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Deployment {
    AL_HABSI(
            List.of("muscat-1", "muscat-2", "muscat-3", "muscat-4"),
            "supper-model",
            6,
            "ticket-desk",
            4),
    ETIKET(List.of("denmark-1", "denmark-2", "denmark-3"), "sprog", 8, "etiket-app", 3);

    private static final int ENTRY_COUNT = 13;
    private final List<String> mFailureDomains;
    private final String mModelName;
    private final int mEngineCount;
    private final String mServiceName;
    private final int mServiceEndpointCount;

    Deployment(
            List<String> failureDomains,
            String modelName,
            int engineCount,
            String serviceName,
            int serviceEndpointCount) {
        mFailureDomains = failureDomains;
        mModelName = modelName;
        mEngineCount = engineCount;
        mServiceName = serviceName;
        mServiceEndpointCount = serviceEndpointCount;
    }

    /** Returns the deployment with a name in lower case with dashes, such as {@code al-habsi}. */
    public static Optional<Deployment> findByName(String name) {
        for (Deployment deployment : values()) {
            if (deployment.dashedName().equals(name)) {
                return Optional.of(deployment);
            }
        }
        return Optional.empty();
    }

    /** Reads the example targets of the deployment, in TOML, from the program's resources. */
    public String readTargets() throws IOException {
        String resource = "/examples/" + dashedName() + "/targets.toml";
        try (InputStream input = Deployment.class.getResourceAsStream(resource)) {
            if (input == null) {
                throw new IOException("resource is missing from the program: " + resource);
            }
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the name in lower case with dashes, such as {@code al-habsi}. */
    public String dashedName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the failure domain of the entry, engine or service endpoint with an index from 0 on.
     * The failure domains are assigned in turn.
     */
    public String failureDomain(int index) {
        return mFailureDomains.get(index % mFailureDomains.size());
    }

    /** Returns the number of entries. */
    public int entryCount() {
        return ENTRY_COUNT;
    }

    /** Returns the model's name. */
    public String model() {
        return mModelName;
    }

    /** Returns the number of engines. */
    public int engineCount() {
        return mEngineCount;
    }

    /** Returns the plain service's name. */
    public String service() {
        return mServiceName;
    }

    /** Returns the number of endpoints of the plain service. */
    public int serviceEndpointCount() {
        return mServiceEndpointCount;
    }
}
