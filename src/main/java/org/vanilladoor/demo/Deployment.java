package org.vanilladoor.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The deployments that a demonstration can show, with the sizes of today.
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

    private static final int ENTRIES = 13;
    private final List<String> mFailureDomains;
    private final String mModel;
    private final int mEngines;
    private final String mService;
    private final int mServices;

    Deployment(
            List<String> failureDomains, String model, int engines, String service, int services) {
        mFailureDomains = failureDomains;
        mModel = model;
        mEngines = engines;
        mService = service;
        mServices = services;
    }

    /** Returns the deployment of that name, written with dashes. */
    public static Optional<Deployment> named(String name) {
        for (Deployment deployment : values()) {
            if (deployment.fileName().equals(name)) {
                return Optional.of(deployment);
            }
        }
        return Optional.empty();
    }

    /** Returns operators' targets in TOML. */
    public String readTargets() throws IOException {
        String resource = "/examples/" + fileName() + "/targets.toml";
        try (InputStream input = Deployment.class.getResourceAsStream(resource)) {
            if (input == null) {
                throw new IOException("the program lacks " + resource);
            }
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the name written with dashes. */
    public String fileName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the failure domain of the entry, engine or service of that number. */
    public String failureDomain(int number) {
        return mFailureDomains.get(number % mFailureDomains.size());
    }

    /** Returns the number of entries. */
    public int entries() {
        return ENTRIES;
    }

    /** Returns the model's name. */
    public String model() {
        return mModel;
    }

    /** Returns the number of engines. */
    public int engines() {
        return mEngines;
    }

    /** Returns the plain service's name. */
    public String service() {
        return mService;
    }

    /** Returns the number of endpoints of the plain service. */
    public int services() {
        return mServices;
    }
}
