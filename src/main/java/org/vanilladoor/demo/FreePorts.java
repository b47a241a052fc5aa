package org.vanilladoor.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.vanilladoor.common.HostPort;

/**
 * Finds free ports on the loopback address.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int LOWEST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;

    private FreePorts() {}

    /**
     * Returns loopback addresses with different ports that were free when they were checked.
     *
     * <p>The ports are below the range from which the operating system assigns local ports to
     * outgoing connections, so that no such connection occupies one before the caller binds it.
     *
     * @throws IOException if fewer ports than requested are free
     */
    public static List<HostPort> find(int count) throws IOException {
        List<HostPort> addresses = new ArrayList<>();
        int first = ThreadLocalRandom.current().nextInt(PORT_COUNT);
        for (int i = 0; i < PORT_COUNT && addresses.size() < count; i++) {
            int port = LOWEST_PORT + (first + i) % PORT_COUNT;
            if (isFree(port)) {
                addresses.add(new HostPort(LOOPBACK, port));
            }
        }
        if (addresses.size() < count) {
            throw new IOException(
                    "only " + addresses.size() + " of " + count + " requested ports are free");
        }
        return addresses;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
