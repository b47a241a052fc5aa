package org.vanilladoor.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.vanilladoor.command.ProgramProcess;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.demo.FreePorts;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.settings.EntrySettings;

/** An entry that runs in a separate process, which a test can kill, stop, suspend and resume. */
final class EntryProcess implements AutoCloseable {
    private final ProgramProcess mProcess;
    private final HostPort mCallerAddress;
    private final HostPort mOperatorAddress;

    private EntryProcess(ProgramProcess process, HostPort callerAddress, HostPort operatorAddress) {
        mProcess = process;
        mCallerAddress = callerAddress;
        mOperatorAddress = operatorAddress;
    }

    /** Starts an entry on ports that were free when they were looked up. */
    static EntryProcess start(EntrySettings settings) throws IOException {
        HostPort callerAddress = FreePorts.find(1).get(0);
        HostPort operatorAddress = FreePorts.find(1).get(0);
        Path file = Files.createTempFile("entry-", ".toml");
        Files.writeString(file, toml(settings, callerAddress, operatorAddress));
        ProgramProcess process =
                ProgramProcess.start(
                        List.of("-Xmx256m"),
                        List.of("entry", "--settings", file.toString()),
                        Path.of("target", settings.name() + ".log").toFile(),
                        false);
        return new EntryProcess(process, callerAddress, operatorAddress);
    }

    /**
     * Starts an entry whose process has a lowered limit of file descriptors.
     *
     * @param options options of the JVM
     */
    static EntryProcess startWithDescriptorLimit(
            EntrySettings settings, int descriptors, List<String> options) throws IOException {
        HostPort callerAddress = FreePorts.find(1).get(0);
        HostPort operatorAddress = FreePorts.find(1).get(0);
        Path file = Files.createTempFile("entry-", ".toml");
        Files.writeString(file, toml(settings, callerAddress, operatorAddress));
        ProgramProcess process =
                ProgramProcess.startWithDescriptorLimit(
                        descriptors,
                        options,
                        List.of("entry", "--settings", file.toString()),
                        Path.of("target", "uncontrolled-callers-entry.log").toFile());
        return new EntryProcess(process, callerAddress, operatorAddress);
    }

    /** Returns the process. */
    ProgramProcess process() {
        return mProcess;
    }

    HostPort callerAddress() {
        return mCallerAddress;
    }

    HostPort operatorAddress() {
        return mOperatorAddress;
    }

    boolean isReady() {
        try (HttpConnectionPool connections = HttpConnectionPool.create(Duration.ofMillis(200));
                HttpClientResponse reply =
                        connections.send(
                                mOperatorAddress,
                                HttpClientRequest.get("/readyz"),
                                Duration.ofSeconds(1))) {
            return reply.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process and waits until it has ended. */
    void kill() {
        mProcess.kill();
    }

    /** Asks the process to stop gracefully. */
    void terminate() {
        mProcess.terminate();
    }

    void awaitExit() {
        mProcess.awaitExit();
    }

    /** Sends a signal, such as STOP or CONT, to the process. */
    void sendSignal(String name) throws IOException {
        mProcess.sendSignal(name);
    }

    @Override
    public void close() {
        kill();
    }

    private static String toml(
            EntrySettings settings, HostPort callerAddress, HostPort operatorAddress) {
        String peers =
                settings.peers().stream()
                        .map(peer -> "\"" + peer + "\"")
                        .collect(Collectors.joining(", "));
        Map<String, Object> entry =
                Map.of(
                        "name", quoted(settings.name()),
                        "failure_domain", quoted(settings.failureDomain()),
                        "caller_address", quoted(callerAddress),
                        "peer_address", quoted(settings.peerAddress()),
                        "operator_address", quoted(operatorAddress),
                        "system_credential", quoted(LocalFleet.CREDENTIAL),
                        "peers", "[" + peers + "]");
        return "[entry]\n"
                + entry.entrySet().stream()
                        .map(each -> each.getKey() + " = " + each.getValue() + "\n")
                        .collect(Collectors.joining())
                + "[platform]\naddress = "
                + quoted(settings.platformAddress())
                + "\ncalls_per_second = 200\n[limits]\nbalancer_grace_ms = 200\n"
                + "drain_limit_ms = 20000\n";
    }

    private static String quoted(Object value) {
        return "\"" + value + "\"";
    }
}
