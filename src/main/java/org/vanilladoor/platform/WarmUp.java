package org.vanilladoor.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.util.List;
import org.vanilladoor.common.HostPort;

/**
 * Starts a serving process without a platform, sends it requests and stops it.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class WarmUp {
    /** Requests that are sent; the first ones load classes, later ones nothing more. */
    private static final int REQUESTS = 5;

    private static final int READ_MILLIS = 2_000;

    private WarmUp() {}

    /**
     * Runs once and prints the status of each answer.
     *
     * @param addresses two free addresses, for callers and for readiness
     * @throws IOException if the process can't be started or reached
     */
    public static void run(List<HostPort> addresses, PrintStream output) throws IOException {
        String callers = addresses.get(0).toString();
        String ready = addresses.get(1).toString();
        // The process's own readiness address stands in for the store, so that its client runs too.
        PlatformSettings settings =
                PlatformSettings.parse(
                        "warm-up",
                        String.join(
                                "\n",
                                "node = \"warm-up\"",
                                "zone = \"here\"",
                                "[listen]",
                                "front = \"" + callers + "\"",
                                "ready = \"" + ready + "\"",
                                "[platform]",
                                "addr = \"" + ready + "\"",
                                "[bounds]",
                                "grace_s = 1"));
        ServeProcess process = ServeProcess.start(settings);
        for (int request = 0; request < REQUESTS; request++) {
            output.println("status " + status(callers, "/warm/up"));
        }
        output.println("metrics " + status(ready, "/metrics"));
        process.stop();
    }

    private static int status(String address, String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + address + path).openConnection();
        connection.setReadTimeout(READ_MILLIS);
        connection.setRequestProperty(Headers.ATTEMPT, "warm-up");
        return connection.getResponseCode();
    }
}
