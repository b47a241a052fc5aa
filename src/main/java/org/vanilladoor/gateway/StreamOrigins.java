package org.vanilladoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The software versions that began the streams which callers may take up.
 *
 * <p>Streams are named by the identifier of the attempt that brought their first event. Invariant:
 * a version is given only if it is certain. Confined to the control thread.
 */
public interface StreamOrigins {
    /** Records that a stream's first event came from an endpoint of a version. */
    void recordBegun(String stream, String service, String version);

    /** Returns whether a stream of a service may begin at an endpoint of a version now. */
    boolean mayBeginAt(String service, String version);

    /**
     * Completes on the control thread with the version that began a stream, or empty if it isn't
     * known.
     *
     * @param stream identifier of the stream; an empty one names no stream, so that its version is
     *     known only if all streams of the service must have it
     */
    CompletableFuture<Optional<String>> find(String stream, String service);
}
