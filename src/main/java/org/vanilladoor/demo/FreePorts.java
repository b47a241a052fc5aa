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
    private static final int PORTS = 20_000;

    private FreePorts() {}

    /**
     * Returns addresses that were all free a moment ago.
     *
     * <p>The ports lie below those that the system gives to outgoing connections, so that none of
     * these takes one before it is used.
     *
     * @throws IOException if there are not so many free ports
     */
    public static List<HostPort> find(int count) throws IOException {
        List<HostPort> addresses = new ArrayList<>();
        int first = ThreadLocalRandom.current().nextInt(PORTS);
        for (int i = 0; i < PORTS && addresses.size() < count; i++) {
            int port = LOWEST_PORT + (first + i) % PORTS;
            if (isFree(port)) {
                addresses.add(new HostPort(LOOPBACK, port));
            }
        }
        if (addresses.size() < count) {
            throw new IOException("only " + addresses.size() + " ports are free");
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
