package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.standin.StandInFleet;
import org.vanilladoor.standin.StandInSettings;

/**
 * Runs stand-ins for the platform, engines and services, as its settings list them, until the
 * process is killed.
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
        return "Run stand-ins for the platform, engines and services.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandArguments.requiredOption("settings", "FILE", "settings in TOML"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("settings");
        StandInSettings settings = StandInSettings.parse(file, CommandArguments.readFile(file));
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
