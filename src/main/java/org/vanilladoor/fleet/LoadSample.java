package org.vanilladoor.fleet;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The load of an endpoint, as stated in one of its responses.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that may run at the same time
 * @param slowdown how long work takes there at this moment, as a multiple of the normal time; empty
 *     if the endpoint does not state it
 */
public record LoadSample(int running, int waiting, int slots, OptionalDouble slowdown) {
    public LoadSample {
        Objects.requireNonNull(slowdown, "slowdown");
    }

    /** Returns the load of an endpoint that does not say how long work takes. */
    public LoadSample(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }
}
