package org.vanilladoor.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.util.List;
import org.vanilladoor.common.HostPort;

/**
 * Starts a serving process in front of a {@link WarmUpPlatform}, sends requests of each kind to it
 * and stops it, so that the classes that the first requests need are loaded.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class WarmUp {
    /** Number of addresses that a warm-up needs. */
    public static final int ADDRESSES = 3;

    /** Maximum number of checks until the process has its configuration and its endpoints. */
    private static final int MAXIMUM_READINESS_CHECKS = 500;

    private static final long READINESS_CHECK_INTERVAL_MILLIS = 20;

    private static final int READ_TIMEOUT_MILLIS = 2_000;

    private WarmUp() {}

    /**
     * Runs the warm-up once and prints the HTTP status of each kind of request.
     *
     * @param addresses free addresses: for callers, for readiness checks and for the platform
     * @throws IOException if the process can't be started or reached
     */
    public static void run(List<HostPort> addresses, PrintStream output) throws IOException {
        String callerAddress = addresses.get(0).toString();
        String readinessAddress = addresses.get(1).toString();
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
                                "addr = \"" + addresses.get(2) + "\"",
                                "[cloud]",
                                "addr = \"" + addresses.get(2) + "\"",
                                "[bounds]",
                                "report_window_s = 1",
                                "grace_s = 1"));
        try (WarmUpPlatform ignored = WarmUpPlatform.start(addresses.get(2), callerAddress)) {
            ServeProcess process = ServeProcess.start(settings);
            awaitReadiness(readinessAddress);
            output.println("unknown " + status(callerAddress, WarmUpPlatform.UNKNOWN_PATH, 0));
            output.println("plain " + status(callerAddress, WarmUpPlatform.PLAIN_PATH, 0));
            output.println("short prompt " + status(callerAddress, WarmUpPlatform.STREAM_PATH, 1));
            output.println(
                    "long prompt " + status(callerAddress, WarmUpPlatform.STREAM_PATH, 10_000));
            output.println("metrics " + status(readinessAddress, "/metrics", 0));
            process.stop();
        }
    }

    private static void awaitReadiness(String address) throws IOException {
        int checks = 0;
        while (!isServed(status(address, "/", 0)) && checks < MAXIMUM_READINESS_CHECKS) {
            checks++;
            try {
                Thread.sleep(READINESS_CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    private static boolean isServed(int status) {
        return status == HttpURLConnection.HTTP_OK;
    }

    private static int status(String address, String path, int promptTokens) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + address + path).openConnection();
        connection.setReadTimeout(READ_TIMEOUT_MILLIS);
        connection.setRequestProperty(Headers.ATTEMPT_IDENTIFIER, "warm-up");
        connection.setRequestProperty(Headers.API_KEY, WarmUpPlatform.KEY);
        if (promptTokens > 0) {
            connection.setRequestProperty(Headers.MODEL, "warm-up");
            connection.setRequestProperty(Headers.TOKEN_COUNTS, promptTokens + ",1");
            connection.setRequestProperty(Headers.PROMPT_PARTS, "a:" + promptTokens);
        }
        int status = connection.getResponseCode();
        if (isServed(status)) {
            try (InputStream body = connection.getInputStream()) {
                body.readAllBytes();
            }
        }
        return status;
    }
}
