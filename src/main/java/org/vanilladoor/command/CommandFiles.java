package org.vanilladoor.command;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/**
 * What commands share about files and arguments.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class CommandFiles {
    private CommandFiles() {}

    /** Returns an option with a value that has to be given. */
    static Option required(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .required()
                .build();
    }

    /** Returns an option with a value. */
    static Option optional(String name, String value, String description) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(description).build();
    }

    /** Returns an option without a value. */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).build();
    }

    /** Returns the text of a file. */
    static String read(String file) throws IOException {
        try {
            return Files.readString(Path.of(file));
        } catch (NoSuchFileException e) {
            throw new UsageException("No such file: " + file);
        } catch (MalformedInputException e) {
            throw new UsageException("File is not UTF-8: " + file);
        }
    }

    /** Returns the one argument that the command takes. */
    static String onlyArgument(CommandLine line, String name) {
        if (line.getArgList().size() != 1) {
            throw new UsageException("Expected one argument " + name);
        }
        return line.getArgList().get(0);
    }

    /** Returns a whole number option. */
    static int number(CommandLine line, String name, int defaultValue) {
        String text = line.getOptionValue(name);
        try {
            return text == null ? defaultValue : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new UsageException("Option --" + name + " is not a whole number: " + text);
        }
    }
}
