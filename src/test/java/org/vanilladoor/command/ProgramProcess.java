package org.vanilladoor.command;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Runs the program in a separate process, which a test can kill, terminate, suspend and resume.
 *
 * <p>Signals only the process that it started, by its process id. Safe for use by any thread.
 */
public final class ProgramProcess {
    private static final long EXIT_TIMEOUT_SECONDS = 60;
    private final Process mProcess;

    private ProgramProcess(Process process) {
        mProcess = process;
    }

    /**
     * Starts the program with the class path of the tests.
     *
     * @param options options of the JVM
     * @param arguments arguments of the program
     * @param log file to which the program's error output is appended
     * @param logsStandardOutput whether the program's standard output is appended to the file as
     *     well; otherwise it is discarded
     */
    public static ProgramProcess start(
            List<String> options, List<String> arguments, File log, boolean logsStandardOutput)
            throws IOException {
        return start(javaCommandLine(options, arguments), log, logsStandardOutput);
    }

    private static List<String> javaCommandLine(List<String> options, List<String> arguments) {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.add("-XX:+UseSerialGC");
        commandLine.add("-XX:TieredStopAtLevel=1");
        commandLine.addAll(options);
        commandLine.add("-cp");
        commandLine.add(System.getProperty("java.class.path"));
        commandLine.add(Main.class.getName());
        commandLine.addAll(arguments);
        return commandLine;
    }

    private static ProgramProcess start(
            List<String> commandLine, File log, boolean logsStandardOutput) throws IOException {
        ProcessBuilder.Redirect logRedirect = ProcessBuilder.Redirect.appendTo(log);
        ProcessBuilder.Redirect outputRedirect =
                logsStandardOutput ? logRedirect : ProcessBuilder.Redirect.DISCARD;
        return new ProgramProcess(
                new ProcessBuilder(commandLine)
                        .redirectOutput(outputRedirect)
                        .redirectError(logRedirect)
                        .start());
    }

    /**
     * Starts the program with a lowered limit of file descriptors, which applies to its process
     * only. Otherwise as {@link #start}.
     */
    public static ProgramProcess startWithDescriptorLimit(
            int descriptors, List<String> options, List<String> arguments, File log)
            throws IOException {
        List<String> commandLine = new ArrayList<>();
        commandLine.addAll(
                List.of("bash", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "bash"));
        commandLine.addAll(javaCommandLine(options, arguments));
        return start(commandLine, log, true);
    }

    public boolean isRunning() {
        return mProcess.isAlive();
    }

    /** Returns the largest resident memory that the process has had, or 0 if it has ended. */
    public long peakMemoryBytes() {
        try (Stream<String> lines = Files.lines(ownDirectory().resolve("status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Returns the number of open file descriptors of the process, or 0 if it has ended. */
    public int openDescriptors() {
        try (Stream<Path> descriptors = Files.list(ownDirectory().resolve("fd"))) {
            return (int) descriptors.count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    private Path ownDirectory() {
        return Path.of("/proc", Long.toString(mProcess.pid()));
    }

    /** Kills the process and waits until it has exited, at most 60 s. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM to the process. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Waits until the process has exited, at most 60 s. */
    public void awaitExit() {
        try {
            mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends the process a signal, such as STOP or CONT. */
    public void sendSignal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
