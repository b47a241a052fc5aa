package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.demo.FreePorts;
import org.vanilladoor.platform.PlatformSettings;
import org.vanilladoor.platform.ServeProcess;

/**
 * Starts a serving process without a platform, sends it a request and stops it.
 *
 * <p>The build runs it to record the classes that a start needs, so that a process on a small VM is
 * ready sooner after a restart. Keeps no state between runs.
 */
final class WarmUpCommand implements Command {
    /** Requests that are sent; the first ones load classes, later ones nothing more. */
    private static final int REQUESTS = 5;

    private static final int READ_MILLIS = 2_000;

    @Override
    public String name() {
        return "warm-up";
    }

    @Override
    public String summary() {
        return "Start and stop a serving process, for the build's class data archive.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        List<HostPort> addresses = FreePorts.find(2);
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
        return ExitCode.OK;
    }

    private static int status(String address, String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + address + path).openConnection();
        connection.setReadTimeout(READ_MILLIS);
        connection.setRequestProperty("Vanilladoor-Attempt-Id", "warm-up");
        return connection.getResponseCode();
    }
}
