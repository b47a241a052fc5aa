package org.vanilladoor.transport;

import org.apache.hc.core5.http.nio.ssl.TlsStrategy;

/**
 * The TLS strategy of connections that do not use TLS.
 *
 * <p>HttpCore's default creates a TLS context at each start, which loads all security providers.
 * Not instantiable.
 */
final class PlainConnections {
    static final TlsStrategy STRATEGY =
            (session, host, localAddress, remoteAddress, attachment, timeout) -> false;

    private PlainConnections() {}
}
