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

/** An entry in a process of its own, which a test can kill, stop and let go on. */
final class EntryProcess implements AutoCloseable {
    private final ProgramProcess mProcess;
    private final HostPort mCallers;
    private final HostPort mOperators;

    private EntryProcess(ProgramProcess process, HostPort callers, HostPort operators) {
        mProcess = process;
        mCallers = callers;
        mOperators = operators;
    }

    /** Starts a process on ports that were free a moment ago. */
    static EntryProcess start(EntrySettings settings) throws IOException {
        HostPort callers = FreePorts.find(1).get(0);
        HostPort operators = FreePorts.find(1).get(0);
        Path file = Files.createTempFile("entry-", ".toml");
        Files.writeString(file, toml(settings, callers, operators));
        ProgramProcess process =
                ProgramProcess.start(
                        List.of("-Xmx256m"),
                        List.of("entry", "--settings", file.toString()),
                        Path.of("target", settings.name() + ".log").toFile(),
                        false);
        return new EntryProcess(process, callers, operators);
    }

    HostPort callers() {
        return mCallers;
    }

    HostPort operators() {
        return mOperators;
    }

    boolean isReady() {
        try (HttpConnectionPool links = HttpConnectionPool.create(Duration.ofMillis(200));
                HttpClientResponse reply =
                        links.send(
                                mOperators,
                                HttpClientRequest.get("/readyz"),
                                Duration.ofSeconds(1))) {
            return reply.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process; returns once it is gone. */
    void kill() {
        mProcess.kill();
    }

    /** Asks the process to stop. */
    void terminate() {
        mProcess.terminate();
    }

    /** Waits for the end of the process. */
    void await() {
        mProcess.await();
    }

    /** Freezes the process, or lets it go on. */
    void signal(String name) throws IOException {
        mProcess.signal(name);
    }

    @Override
    public void close() {
        kill();
    }

    private static String toml(EntrySettings settings, HostPort callers, HostPort operators) {
        String peers =
                settings.peers().stream()
                        .map(peer -> "\"" + peer + "\"")
                        .collect(Collectors.joining(", "));
        Map<String, Object> entry =
                Map.of(
                        "name", quoted(settings.name()),
                        "failure_domain", quoted(settings.failureDomain()),
                        "caller_address", quoted(callers),
                        "peer_address", quoted(settings.peerAddress()),
                        "operator_address", quoted(operators),
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
