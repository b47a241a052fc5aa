package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.entry.Entry;
import org.vanilladoor.entry.TlsContexts;
import org.vanilladoor.settings.EntrySettings;

/**
 * Runs an entry until the process receives a termination signal.
 *
 * <p>Keeps no state between runs.
 */
final class EntryCommand implements Command {
    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "Run an entry process; on SIGTERM it drains its open requests and stops.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandArguments.requiredOption("settings", "FILE", "settings in TOML"));
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output) throws IOException {
        String file = line.getOptionValue("settings");
        EntrySettings settings = EntrySettings.parse(file, CommandArguments.readFile(file));
        ThreadFailures.endProcess();
        Entry entry = Entry.start(settings, TlsContexts.create(settings).orElse(null));
        output.println("callers " + entry.callerAddress());
        output.println("operators " + entry.operatorAddress());
        ProcessShutdown.awaitAndRun(entry::stop);
        return ExitCode.OK;
    }
}
