package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.Optional;
import org.vanilladoor.fleet.LoadSample;

/**
 * What the head of an endpoint's answer says.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param status HTTP status
 * @param isNotRun whether the endpoint says that it has not run the request
 * @param isSigned whether it bears the endpoint's proof that it ran
 * @param identifier attempt that it answers, or empty
 * @param load the endpoint's load, if it tells
 */
public record EndpointResponse(
        int status,
        boolean isNotRun,
        boolean isSigned,
        String identifier,
        Optional<LoadSample> load) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    public EndpointResponse {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(load, "load");
    }

    /** Returns whether the status is a success. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** Returns whether the status is a failure of the server. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
