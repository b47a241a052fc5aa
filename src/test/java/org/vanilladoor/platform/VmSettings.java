package org.vanilladoor.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.vanilladoor.common.HostPort;

/** Settings of a VM that a test starts. */
final class VmSettings {
    private VmSettings() {}

    /**
     * Returns the content of a settings file.
     *
     * @param callers address to which callers connect
     * @param store address of the object store
     * @param further lines that follow, with the headers of their sections
     */
    static String text(HostPort callers, HostPort store, String... further) throws IOException {
        return String.join(
                        "\n",
                        "node = \"vm\"",
                        "zone = \"a\"",
                        "[listen]",
                        "front = \"" + callers + "\"",
                        "ready = \"" + freeAddress() + "\"",
                        "[platform]",
                        "addr = \"" + store + "\"",
                        "")
                + String.join("\n", further)
                + "\n";
    }

    /** Returns a loopback address at which nothing listens. */
    static HostPort freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }
}
