package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.standin.StandInFleet;
import org.vanilladoor.standin.StandInSettings;

/**
 * Runs stand-ins for the platform and its endpoints.
 *
 * <p>Keeps no state between runs.
 */
final class StandInCommand implements Command {
    @Override
    public String name() {
        return "stand-in";
    }

    @Override
    public String summary() {
        return "Run small stand-ins for the platform, engines and services.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandFiles.required("settings", "FILE", "settings in TOML"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("settings");
        StandInSettings settings = StandInSettings.parse(file, CommandFiles.read(file));
        StandInFleet fleet = StandInFleet.start(settings);
        output.println("platform " + fleet.platform().address());
        fleet.engines()
                .forEach(
                        (name, engine) ->
                                output.println("engine " + name + " " + engine.address()));
        fleet.services()
                .forEach(
                        (name, service) ->
                                output.println("service " + name + " " + service.address()));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
