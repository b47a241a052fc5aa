package org.vanilladoor.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.command.ProcessBounds;
import org.vanilladoor.command.ProgramProcess;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.entry.Eventually;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;
import org.vanilladoor.transport.CallerCrowd;

/**
 * Guards against a serving process that ends, exceeds its VM or serves nothing any more because
 * callers send more than they read, or open connections without end.
 *
 * <p>The process has a smaller heap and fewer descriptors than as deployed, so that a small crowd
 * reaches its limits. The crowd stays connected until the process has been checked.
 */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class UncontrolledCallersTests {
    private static final int HEAP_MEGABYTES = 64;

    /** What a VM has beyond the heap: 282 MB less 160 MB. */
    private static final int MEGABYTES_BESIDE_HEAP = 122;

    private static final int DESCRIPTORS = 500;

    /** Descriptors that stay free for endpoints, the platform, readiness and operators. */
    private static final int FREE_DESCRIPTORS = 30;

    private static final ProcessBounds BOUNDS =
            new ProcessBounds(
                    (HEAP_MEGABYTES + MEGABYTES_BESIDE_HEAP) * 1_048_576L,
                    DESCRIPTORS - FREE_DESCRIPTORS);

    private static final int LARGE_BODY_BYTES = 200_000;
    private static final int SMALL_BODY_BYTES = 10_000;
    private static final int REQUEST_TIMEOUT_MILLIS = 3_000;
    private static final Duration SENDING_TIME = Duration.ofSeconds(20);
    private static final int MIXTURE_ROUNDS = 4;
    private static final Duration MIXTURE_SENDING_TIME = Duration.ofSeconds(4);
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration IDLE_LIMIT = Duration.ofMinutes(2);
    private static final int LISTING_SIZE = 10;

    /** Not the address of other tests, since a process also listens on fixed ports. */
    private static final HostPort CALLERS = new HostPort("127.70.1.1", 8405);

    @TempDir private Path mDirectory;
    private RawObjectStore mStore;
    private HttpService mEndpoint;
    private ProgramProcess mProcess;

    @BeforeEach
    void startProcess() throws Exception {
        mStore = RawObjectStore.start(LISTING_SIZE);
        HostPort anyPort = new HostPort("127.70.1.2", 0);
        mEndpoint =
                HttpService.start(
                        "endpoint", anyPort, IDLE_LIMIT, null, UncontrolledCallersTests::respond);
        mStore.put(
                EndpointFeed.KIND,
                "e",
                "{\"service\":\"app\",\"addr\":\""
                        + mEndpoint.address()
                        + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
        mStore.put(
                ConfigurationFeed.KIND,
                "main",
                "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\","
                        + "\"type\":\"safe\",\"service\":\"app\",\"public\":true}],"
                        + "\"services\":[{\"name\":\"app\"}]}");
        Path settings = mDirectory.resolve("vm.toml");
        Files.writeString(
                settings,
                VmSettings.text(
                        CALLERS,
                        mStore.address(),
                        "[limits]",
                        "max_fds = " + DESCRIPTORS,
                        "memory_mb = " + (HEAP_MEGABYTES + MEGABYTES_BESIDE_HEAP)));
        mProcess =
                ProgramProcess.startWithDescriptorLimit(
                        DESCRIPTORS,
                        List.of(
                                "-Xmx" + HEAP_MEGABYTES + "m",
                                "-Xss256k",
                                "-Dvanilladoor.log.format=events"),
                        List.of("serve", "--settings", settings.toString()),
                        Path.of("target", "uncontrolled-callers.log").toFile());
        Eventually.within(START_LIMIT, "the process serves", this::servesOrdinaryRequest);
    }

    @AfterEach
    void stop() {
        mProcess.kill();
        mEndpoint.close();
        mStore.close();
    }

    @Test
    void requestsOfManyShortHeaderLinesThatAreSentAheadLeaveAServingProcess() throws Exception {
        String lines = "a:\r\n".repeat(180);
        check(
                crowd -> {
                    crowd.connect(150);
                    crowd.send(
                            (connection, number) ->
                                    request("/slow/", connection + "." + number, lines),
                            300,
                            SENDING_TIME);
                });
    }

    @Test
    void requestsSentAheadWithAKeyEachAndUnreadResponsesLeaveAServingProcess() throws Exception {
        check(
                crowd -> {
                    crowd.connect(150);
                    crowd.send(
                            (connection, number) ->
                                    request("/small/", connection + "." + number, ""),
                            2_000,
                            SENDING_TIME);
                });
    }

    @Test
    void headsThatNeverEndLeaveAServingProcess() throws Exception {
        check(
                crowd -> {
                    crowd.connect(300);
                    crowd.send(
                            (connection, number) ->
                                    number == 0
                                            ? "GET / HTTP/1.1\r\n"
                                            : number + ":" + "b".repeat(70) + "\r\n",
                            190,
                            SENDING_TIME);
                });
    }

    @Test
    void connectionsOpenedAllAtOnceOfWhichHalfLeaveEarlyLeaveAServingProcess() throws Exception {
        check(
                crowd -> {
                    for (int i = 0; i < 4; i++) {
                        crowd.connect(500);
                        crowd.leaveByHalf();
                    }
                });
    }

    @Test
    void largeResponsesThatStayUnreadLeaveAServingProcess() throws Exception {
        check(
                crowd -> {
                    crowd.connect(400);
                    crowd.send(
                            (connection, number) ->
                                    request("/large/", connection + "." + number, ""),
                            4,
                            SENDING_TIME);
                });
    }

    @Test
    void connectionsThatSendNothingLeaveAServingProcess() throws Exception {
        check(crowd -> crowd.connect(1_000));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMixtureOfAllKindsOfCallersLeavesAServingProcess(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        check(
                crowd -> {
                    for (int round = 0; round < MIXTURE_ROUNDS; round++) {
                        crowd.leaveByHalf();
                        crowd.connect(random.nextInt(50, 250));
                        long roundSeed = random.nextLong();
                        crowd.send(
                                (connection, number) -> mixed(roundSeed, connection, number),
                                random.nextInt(1, 300),
                                MIXTURE_SENDING_TIME);
                    }
                });
    }

    /** Returns what a connection sends, which is of one kind in each round. */
    private static String mixed(long roundSeed, int connection, int number) {
        int kind = new SplittableRandom(roundSeed + connection).nextInt(6);
        String identifier = roundSeed + "." + connection + "." + number;
        return switch (kind) {
            case 0 -> request("/slow/", identifier, "a:\r\n".repeat(180));
            case 1 -> request("/small/", identifier, "");
            case 2 -> request("/large/", identifier, "");
            case 3 -> number == 0 ? "GET / HTTP/1.1\r\n" : "b:" + "c".repeat(number) + "\r\n";
            case 4 ->
                    number == 0
                            ? request("/small/", identifier, "Content-Length: 4000000\r\n")
                            : "d".repeat(10_000);
            default -> "";
        };
    }

    private void check(Behavior behavior) throws IOException {
        try (CallerCrowd crowd = CallerCrowd.at(CALLERS)) {
            behavior.run(crowd);
            BOUNDS.requireServing(mProcess, this::servesOrdinaryRequest);
        }
    }

    private boolean servesOrdinaryRequest() {
        try (Socket socket = new Socket()) {
            socket.connect(CALLERS.toSocketAddress(), REQUEST_TIMEOUT_MILLIS);
            socket.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
            String request = request("/ordinary/", "ordinary", "Connection: close\r\n");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    private static String request(String path, String identifier, String furtherLines) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: h\r\nVanilladoor-Attempt-Id: "
                + identifier
                + "\r\nVanilladoor-Key: key-"
                + identifier
                + "\r\n"
                + furtherLines
                + "\r\n";
    }

    private static void respond(HttpExchange exchange) throws IOException {
        exchange.header(Headers.ATTEMPT_IDENTIFIER)
                .ifPresent(
                        identifier ->
                                exchange.setResponseHeader(Headers.ATTEMPT_IDENTIFIER, identifier));
        exchange.setResponseHeader(Headers.SIGNATURE, "proof");
        exchange.respond(200, "text/plain", new byte[bodyBytes(exchange.path())]);
    }

    private static int bodyBytes(String path) throws IOException {
        return switch (path) {
            case "/large/" -> LARGE_BODY_BYTES;
            case "/small/" -> SMALL_BODY_BYTES;
            case "/slow/" -> {
                try {
                    Thread.sleep(200);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IOException(e);
                }
                yield 0;
            }
            default -> 0;
        };
    }

    /** What a crowd does. */
    private interface Behavior {
        void run(CallerCrowd crowd) throws IOException;
    }
}
