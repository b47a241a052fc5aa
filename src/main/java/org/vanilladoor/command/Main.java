package org.vanilladoor.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.logging.LineLoggerContextFactory;

/**
 * Entry point of the program {@code vanilladoor}: dispatches to the command that the first argument
 * names.
 *
 * <p>Stateless.
 */
public final class Main {
    private static final String PROGRAM = "vanilladoor";
    private static final int HELP_WIDTH_COLUMNS = 100;
    private static final int HELP_INDENT_COLUMNS = 2;

    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        LineLoggerContextFactory.installIfChosen();
        System.exit(run(arguments, System.out, System.err).code());
    }

    static ExitCode run(String[] arguments, PrintStream output, PrintStream errors) {
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            printOverview(output);
            return arguments.length == 0 ? ExitCode.INVALID : ExitCode.OK;
        }
        if (arguments[0].equals("--version")) {
            String version = Main.class.getPackage().getImplementationVersion();
            output.println(PROGRAM + " " + (version == null ? "development" : version));
            return ExitCode.OK;
        }
        Optional<Command> command =
                commands().stream()
                        .filter(candidate -> candidate.name().equals(arguments[0]))
                        .findFirst();
        if (command.isEmpty()) {
            errors.println("Unknown command: " + arguments[0] + ". See --help.");
            return ExitCode.INVALID;
        }
        String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
        return runCommand(command.get(), rest, output, errors);
    }

    static List<Command> commands() {
        return List.of(
                new EntryCommand(),
                new ServeCommand(),
                new WarmUpCommand(),
                new StandInCommand(),
                new DemoCommand(),
                new CheckCommand(),
                new ApplyCommand(),
                new KeysCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new ReportCommand(),
                new LoadCommand(),
                new ReplayCommand(),
                new MeasureCommand());
    }

    private static ExitCode runCommand(
            Command command, String[] arguments, PrintStream output, PrintStream errors) {
        Options options = command.options();
        options.addOption(Option.builder().longOpt("help").desc("show this help").build());
        if (Arrays.asList(arguments).contains("--help")) {
            printHelp(command, options, output);
            return ExitCode.OK;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            return command.run(line, output);
        } catch (ParseException | UsageException e) {
            errors.println(e.getMessage() + ". See " + command.name() + " --help.");
            return ExitCode.INVALID;
        } catch (InvalidInputException e) {
            e.findings().forEach(errors::println);
            return ExitCode.INVALID;
        } catch (IOException e) {
            errors.println("Failed: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static void printOverview(PrintStream output) {
        output.println("usage: " + PROGRAM + " COMMAND [OPTIONS]");
        commands()
                .forEach(
                        command ->
                                output.printf("  %-10s %s%n", command.name(), command.summary()));
        output.println("COMMAND --help shows a command's options; --version shows the version.");
        output.println("Exit codes: 0 done, 1 failed, 2 invalid arguments, settings or targets.");
    }

    private static void printHelp(Command command, Options options, PrintStream output) {
        PrintWriter writer = new PrintWriter(output, true);
        HelpFormatter formatter = new HelpFormatter();
        formatter.printHelp(
                writer,
                HELP_WIDTH_COLUMNS,
                PROGRAM + " " + command.name() + " " + command.arguments(),
                command.summary(),
                options,
                HELP_INDENT_COLUMNS,
                HELP_INDENT_COLUMNS,
                "",
                true);
        writer.flush();
    }
}
