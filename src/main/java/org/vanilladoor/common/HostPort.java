package org.vanilladoor.common;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A TCP address: IP address and port.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param host IP address, without brackets
 * @param port port from 0 to 65535; 0 lets the operating system choose a free port
 */
public record HostPort(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    public HostPort {
        Objects.requireNonNull(host, "host");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("host is empty");
        }
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port is not between 0 and 65535: " + port);
        }
    }

    /**
     * Parses an address of the form {@code host:port}.
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

    /** Returns the address in the form that sockets take. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
