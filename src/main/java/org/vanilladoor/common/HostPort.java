package org.vanilladoor.common;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A TCP address by IP number and port.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param host IP number, without brackets
 * @param port port from 0 to 65535; 0 asks the system for a free one
 */
public record HostPort(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    public HostPort {
        Objects.requireNonNull(host, "host");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("host is empty");
        }
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port is not within 0 and 65535: " + port);
        }
    }

    /**
     * Returns the address written as {@code host:port}.
     *
     * @throws IllegalArgumentException if the text has no host or no valid port
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not host:port: " + text);
        }
        try {
            return new HostPort(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address has no valid port: " + text, e);
        }
    }

    /** Returns the address for a socket. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
