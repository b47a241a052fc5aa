package org.vanilladoor.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.vanilladoor.common.HostPort;

/**
 * Finds free ports on the loopback address.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";

    private FreePorts() {}

    /** Returns addresses that were all free at the same moment. */
    public static List<HostPort> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<HostPort> addresses = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
                sockets.add(socket);
                addresses.add(new HostPort(LOOPBACK, socket.getLocalPort()));
            }
            return addresses;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
