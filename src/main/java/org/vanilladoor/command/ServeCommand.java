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
 * Serves on the operators' platform until the process is asked to stop.
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
        return "Serve on the operators' platform; SIGTERM stops it without cutting a request.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandFiles.optional(
                                "settings",
                                "FILE",
                                "the platform's settings; " + SETTINGS_VARIABLE + " if left out"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("settings", System.getenv(SETTINGS_VARIABLE));
        if (file == null) {
            throw new UsageException("neither --settings nor " + SETTINGS_VARIABLE + " is given");
        }
        PlatformSettings settings = PlatformSettings.parse(file, CommandFiles.read(file));
        ServeProcess process = ServeProcess.start(settings);
        // Without a handler the JVM ends on this signal.
        Signal.handle(new Signal("HUP"), signal -> reload(file, settings));
        ProcessEnd.await(process::stop);
        return ExitCode.OK;
    }

    /** Checks changed settings; addresses and bounds hold from the next start on. */
    private static void reload(String file, PlatformSettings before) {
        try {
            PlatformSettings now = PlatformSettings.parse(file, CommandFiles.read(file));
            EventLog.write("process", "settings.changed", "differ", !now.equals(before));
        } catch (InvalidInputException | UsageException | IOException e) {
            EventLog.write("process", "settings.invalid", "reason", e.getMessage());
        }
    }
}
