package org.vanilladoor.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.util.List;
import org.vanilladoor.common.HostPort;

/**
 * Starts a serving process without a platform, sends requests to it and stops it, so that the
 * classes that it needs are loaded.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class WarmUp {
    /** Number of requests; the first ones load classes, further requests would load no more. */
    private static final int REQUEST_COUNT = 5;

    private static final int READ_TIMEOUT_MILLIS = 2_000;

    private WarmUp() {}

    /**
     * Runs the warm-up once and prints the HTTP status of each response.
     *
     * @param addresses two free addresses: for callers and for readiness checks
     * @throws IOException if the process can't be started or reached
     */
    public static void run(List<HostPort> addresses, PrintStream output) throws IOException {
        String callerAddress = addresses.get(0).toString();
        String readinessAddress = addresses.get(1).toString();
        // The process uses its own readiness address as the store's address, so that the classes of
        // the store's client are loaded as well.
        PlatformSettings settings =
                PlatformSettings.parse(
                        "warm-up",
                        String.join(
                                "\n",
                                "node = \"warm-up\"",
                                "zone = \"here\"",
                                "[listen]",
                                "front = \"" + callerAddress + "\"",
                                "ready = \"" + readinessAddress + "\"",
                                "[platform]",
                                "addr = \"" + readinessAddress + "\"",
                                "[bounds]",
                                "grace_s = 1"));
        ServeProcess process = ServeProcess.start(settings);
        for (int request = 0; request < REQUEST_COUNT; request++) {
            output.println("status " + requestStatus(callerAddress, "/warm/up"));
        }
        output.println("metrics " + requestStatus(readinessAddress, "/metrics"));
        process.stop();
    }

    private static int requestStatus(String address, String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + address + path).openConnection();
        connection.setReadTimeout(READ_TIMEOUT_MILLIS);
        connection.setRequestProperty(Headers.ATTEMPT_IDENTIFIER, "warm-up");
        return connection.getResponseCode();
    }
}
