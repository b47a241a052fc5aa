package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.platform.PlatformSettings;
import org.vanilladoor.platform.ServeProcess;
import sun.misc.Signal;

/**
 * Runs the serving process on the operators' platform until it receives a termination signal.
 *
 * <p>Keeps no state between runs.
 */
final class ServeCommand implements Command {
    private static final String SETTINGS_VARIABLE = "VANILLADOOR_SETTINGS";

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String summary() {
        return "Serve on the operators' platform; SIGTERM drains open requests and stops it.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandArguments.option(
                                "settings",
                                "FILE",
                                "the platform's settings; " + SETTINGS_VARIABLE + " if omitted"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("settings", System.getenv(SETTINGS_VARIABLE));
        if (file == null) {
            throw new UsageException("Neither --settings nor " + SETTINGS_VARIABLE + " is given");
        }
        PlatformSettings settings = PlatformSettings.parse(file, CommandArguments.readFile(file));
        ThreadFailures.endProcess();
        ServeProcess process = ServeProcess.start(settings);
        // Without a handler, SIGHUP would terminate the JVM.
        Signal.handle(new Signal("HUP"), signal -> reload(file, settings));
        ProcessShutdown.awaitAndRun(process::stop);
        return ExitCode.OK;
    }

    /**
     * Parses the settings file again and logs whether it differs or why it is invalid. Changed
     * settings, such as addresses and bounds, take effect at the next start only.
     */
    private static void reload(String file, PlatformSettings startSettings) {
        try {
            PlatformSettings current =
                    PlatformSettings.parse(file, CommandArguments.readFile(file));
            EventLog.write("process", "settings.changed", "differ", !current.equals(startSettings));
        } catch (InvalidInputException | UsageException | IOException e) {
            EventLog.write("process", "settings.invalid", "reason", e.getMessage());
        }
    }
}
