package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanilladoor.command.ProgramProcess;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;

/** Guards against a VM that ends or serves nothing since the store holds odd entries. */
class OddEntryProcessTests {
    private static final int PAGE_SIZE = 500;
    private static final int SOCKET_TIMEOUT_MILLIS = 2_000;

    /** Covers the start of the process and the time in which a lease is taken over. */
    private static final long START_MILLIS = 30_000;

    private static final long IN_TIME_MILLIS = 3_000;

    /** Time after a restart of all VMs in which requests have to be served again. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long POLL_NANOS = 20_000_000;
    private static final int LARGE = 20_000;
    private static final List<String> OWN_KINDS = List.of("lease", "members", "roster", "crashes");

    @TempDir private Path mDirectory;
    private RawObjectStore mStore;
    private ScriptedEndpoint mEndpoint;
    private HostPort mCallers;
    private ProgramProcess mProcess;

    @BeforeEach
    void prepare() throws IOException {
        mStore = RawObjectStore.start(PAGE_SIZE);
        mEndpoint =
                ScriptedEndpoint.start(
                        request -> ScriptedEndpoint.response(request, 200, "", "served"));
        mCallers = VmSettings.freeAddress();
    }

    @AfterEach
    void stop() throws IOException {
        mProcess.kill();
        mEndpoint.close();
        mStore.close();
    }

    @Test
    void aVmThatStartsAmongOddEntriesServesFollowsAndReports() throws IOException {
        putOddEntries("a");
        putEndpoint("m", "plain");
        putConfiguration(1, "plain");
        putOddEntries("z");
        startProcess();
        awaitServed("/plain/", START_MILLIS);
        putOddEntries("a");
        putOddEntries("y");
        putEndpoint("n", "added");
        putConfiguration(2, "added");
        awaitServed("/added/", IN_TIME_MILLIS);
        awaitTrue("reports usage", START_MILLIS, () -> mStore.usageReports() > 0);
        assertThat(mProcess.isRunning()).isTrue();
        assertThat(unreadableObjects()).isNotEmpty();
        assertThat(unreadableObjects()).containsNoDuplicates();
    }

    /** Memory has to hold what is needed of the entries, not all that they decode into. */
    @ParameterizedTest
    @EnumSource(LargeContent.class)
    void aVmServesAmongLargeEntriesWhetherItRunsOrStarts(LargeContent large) throws IOException {
        putLargeEntries(large, EndpointFeed.KIND, "a");
        putLargeEntries(large, "vanilladoor-crashes", "a");
        putEndpoint("m", "plain");
        putConfiguration(1, "plain");
        startProcess();
        awaitServed("/plain/", RECOVERY_MILLIS);
        putLargeEntries(large, EndpointFeed.KIND, "b");
        putEndpoint("n", "added");
        putConfiguration(2, "added");
        awaitServed("/added/", RECOVERY_MILLIS);
        assertThat(mProcess.isRunning()).isTrue();
        assertThat(Files.readString(log().toPath())).doesNotContain("OutOfMemoryError");
    }

    @Test
    void anEndpointWithALargeUnknownFieldIsUsed() throws IOException {
        mStore.put(
                EndpointFeed.KIND,
                "m",
                endpointSpec("plain").replace("}", ",\"more\":\"" + "x".repeat(900_000) + "\"}"));
        putConfiguration(1, "plain");
        startProcess();
        awaitServed("/plain/", START_MILLIS);
    }

    private void putLargeEntries(LargeContent large, String kind, String prefix) {
        for (int index = 0; index < large.count(); index++) {
            String name = prefix + index;
            mStore.putWithMeta(kind, name, Json.write(name), large.spec(index), large.status());
        }
    }

    private void putOddEntries(String prefix) {
        for (OddContent odd : OddContent.values()) {
            String name = prefix + "-" + odd.ordinal();
            mStore.put(EndpointFeed.KIND, name, odd.ofSize(LARGE));
            mStore.put(ConfigurationFeed.KIND, name, odd.ofSize(LARGE));
            for (String kind : OWN_KINDS) {
                mStore.put("vanilladoor-" + kind, name, odd.ofSize(LARGE));
            }
        }
        mStore.put("vanilladoor-lease", "fleet", OddContent.DEEP_ARRAYS.ofSize(LARGE));
        mStore.put("vanilladoor-roster", "fleet", OddContent.LONG_INTEGER.ofSize(LARGE));
    }

    private void putEndpoint(String name, String service) {
        mStore.put(EndpointFeed.KIND, name, endpointSpec(service));
    }

    private String endpointSpec(String service) {
        return "{\"service\":\""
                + service
                + "\",\"addr\":\""
                + mEndpoint.address()
                + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":5}";
    }

    private void putConfiguration(long version, String service) {
        mStore.put(
                ConfigurationFeed.KIND,
                "main",
                "{\"version\":"
                        + version
                        + ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/"
                        + service
                        + "/\",\"type\":\"safe\",\"service\":\""
                        + service
                        + "\",\"public\":true}],\"services\":[{\"name\":\""
                        + service
                        + "\"}]}");
    }

    private void startProcess() throws IOException {
        Path settings = mDirectory.resolve("vm.toml");
        Files.writeString(
                settings,
                VmSettings.text(
                        mCallers,
                        mStore.address(),
                        "[cloud]",
                        "addr = \"" + mStore.address() + "\"",
                        "[bounds]",
                        "report_window_s = 5"));
        mProcess =
                ProgramProcess.start(
                        List.of("-Xmx160m", "-Xss256k", "-Dvanilladoor.log.format=events"),
                        List.of("serve", "--settings", settings.toString()),
                        log(),
                        true);
    }

    private File log() {
        return mDirectory.resolve("vm.log").toFile();
    }

    /** Returns kind, name, revision and reason of each unreadable object that was logged. */
    private List<String> unreadableObjects() throws IOException {
        String event = "event=object.unreadable";
        return Files.readAllLines(log().toPath()).stream()
                .filter(line -> line.contains(event))
                .map(line -> line.substring(line.indexOf(event)))
                .toList();
    }

    private void awaitServed(String path, long timeoutMillis) {
        awaitTrue("serves " + path, timeoutMillis, () -> call(path).endsWith("served"));
    }

    /** Returns the response, or an empty string if there is none. */
    private String call(String path) {
        try (Socket socket = new Socket(mCallers.host(), mCallers.port())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(GatewayFixture.request("GET", path, "", "key", ""));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    private static void awaitTrue(String what, long timeoutMillis, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            assertWithMessage(what).that(System.nanoTime()).isLessThan(endNanos);
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
