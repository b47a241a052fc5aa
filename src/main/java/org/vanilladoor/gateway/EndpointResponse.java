package org.vanilladoor.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.HttpStatus;
import org.vanilladoor.fleet.EndpointNotice;
import org.vanilladoor.fleet.LoadSample;
import org.vanilladoor.fleet.StatedLimit;

/**
 * The fields of an endpoint's response head that the gateway evaluates.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param status HTTP status
 * @param isNotRun whether the endpoint states that it has not run the request
 * @param isSigned whether the response carries the endpoint's signature, which shows that the
 *     request ran
 * @param identifier identifier of the attempt that the response belongs to, or an empty string
 * @param load the endpoint's load, if reported
 * @param limit what the endpoint says about the rate of requests that it takes
 * @param notice what the endpoint says about further requests
 * @param contradiction why the head can't be the response to any call, if its fields contradict one
 *     another; the other components then mean nothing
 */
public record EndpointResponse(
        int status,
        boolean isNotRun,
        boolean isSigned,
        String identifier,
        Optional<LoadSample> load,
        StatedLimit limit,
        EndpointNotice notice,
        Optional<String> contradiction) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Statuses that callers take as a promise that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES =
            Set.of(
                    HttpStatus.SC_REQUEST_TIMEOUT,
                    HttpStatus.SC_MISDIRECTED_REQUEST,
                    HttpStatus.SC_TOO_MANY_REQUESTS,
                    HttpStatus.SC_SERVICE_UNAVAILABLE);

    public EndpointResponse {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(notice, "notice");
        Objects.requireNonNull(contradiction, "contradiction");
    }

    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** Returns whether the status is 500 or above. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns whether a caller that gets the status takes the request for one that has not run. */
    public boolean promisesNotRun() {
        return NOT_RUN_STATUSES.contains(status);
    }
}
