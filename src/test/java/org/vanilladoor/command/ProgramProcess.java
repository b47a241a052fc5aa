package org.vanilladoor.command;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

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
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.add("-XX:+UseSerialGC");
        commandLine.add("-XX:TieredStopAtLevel=1");
        commandLine.addAll(options);
        commandLine.add("-cp");
        commandLine.add(System.getProperty("java.class.path"));
        commandLine.add(Main.class.getName());
        commandLine.addAll(arguments);
        ProcessBuilder.Redirect logRedirect = ProcessBuilder.Redirect.appendTo(log);
        ProcessBuilder.Redirect outputRedirect =
                logsStandardOutput ? logRedirect : ProcessBuilder.Redirect.DISCARD;
        return new ProgramProcess(
                new ProcessBuilder(commandLine)
                        .redirectOutput(outputRedirect)
                        .redirectError(logRedirect)
                        .start());
    }

    public boolean isRunning() {
        return mProcess.isAlive();
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
