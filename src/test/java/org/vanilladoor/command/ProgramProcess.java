package org.vanilladoor.command;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The program in a process of its own, which a test can kill, stop, freeze and let go on.
 *
 * <p>Invariant: only the process that it started is signalled, by its id. Safe for use by any
 * thread.
 */
public final class ProgramProcess {
    private static final long MOST_SECONDS_TO_END = 60;
    private final Process mProcess;

    private ProgramProcess(Process process) {
        mProcess = process;
    }

    /**
     * Starts the program with the class path of the tests.
     *
     * @param options options of the JVM
     * @param arguments arguments of the program
     * @param log takes what it writes to its error output, after what is there already
     * @param logsOutput whether the log takes its standard output as well, which is dropped
     *     otherwise
     */
    public static ProgramProcess start(
            List<String> options, List<String> arguments, File log, boolean logsOutput)
            throws IOException {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.add("-XX:+UseSerialGC");
        words.add("-XX:TieredStopAtLevel=1");
        words.addAll(options);
        words.add("-cp");
        words.add(System.getProperty("java.class.path"));
        words.add(Main.class.getName());
        words.addAll(arguments);
        ProcessBuilder.Redirect toLog = ProcessBuilder.Redirect.appendTo(log);
        ProcessBuilder.Redirect output = logsOutput ? toLog : ProcessBuilder.Redirect.DISCARD;
        return new ProgramProcess(
                new ProcessBuilder(words).redirectOutput(output).redirectError(toLog).start());
    }

    public boolean isRunning() {
        return mProcess.isAlive();
    }

    /** Kills the process; returns once it is gone. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Asks the process to stop. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Waits for the end of the process. */
    public void awaitExit() {
        try {
            mProcess.waitFor(MOST_SECONDS_TO_END, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal, such as STOP or CONT. */
    public void sendSignal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
