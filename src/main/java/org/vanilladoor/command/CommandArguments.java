package org.vanilladoor.command;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/**
 * Declares options, and reads arguments and files for the commands.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class CommandArguments {
    private CommandArguments() {}

    /** Returns a mandatory option that takes a value. */
    static Option requiredOption(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .required()
                .build();
    }

    /** Returns an option that takes a value and may be omitted. */
    static Option option(String name, String valueName, String description) {
        return Option.builder().longOpt(name).hasArg().argName(valueName).desc(description).build();
    }

    /** Returns an option that takes no value. */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).build();
    }

    /**
     * Reads a file in UTF-8.
     *
     * @throws UsageException if the file does not exist or is not in UTF-8
     */
    static String readFile(String file) throws IOException {
        try {
            return Files.readString(Path.of(file));
        } catch (NoSuchFileException e) {
            throw new UsageException("No such file: " + file);
        } catch (MalformedInputException e) {
            throw new UsageException("File is not UTF-8: " + file);
        }
    }

    /**
     * Returns the only argument.
     *
     * @throws UsageException if there is no argument or more than one
     */
    static String singleArgument(CommandLine line, String name) {
        if (line.getArgList().size() != 1) {
            throw new UsageException("Expected exactly one argument: " + name);
        }
        return line.getArgList().get(0);
    }

    /**
     * Returns the value of an integer option, or the default if it is omitted.
     *
     * @throws UsageException if the value is not an integer
     */
    static int intOption(CommandLine line, String name, int defaultValue) {
        String text = line.getOptionValue(name);
        try {
            return text == null ? defaultValue : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new UsageException("Option --" + name + " is not an integer: " + text);
        }
    }
}
