package org.vanilladoor.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.command.ProcessBounds;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.demo.Deployment;
import org.vanilladoor.demo.LocalFleet;
import org.vanilladoor.transport.CallerCrowd;

/**
 * Guards against an entry that ends, exceeds its VM or serves nothing any more because callers send
 * more than they read, or open connections without end.
 *
 * <p>The process has a small heap and few descriptors, so that a small crowd reaches its limits.
 * The crowd stays connected until the process has been checked.
 */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class UncontrolledCallersTests {
    private static final int HEAP_MEGABYTES = 64;

    /** What a VM has beyond the heap: 282 MB less 160 MB. */
    private static final int MEGABYTES_BESIDE_HEAP = 122;

    private static final int DESCRIPTORS = 500;

    /** Descriptors that stay free for endpoints, peers, the platform and operators. */
    private static final int FREE_DESCRIPTORS = 30;

    private static final ProcessBounds BOUNDS =
            new ProcessBounds(
                    (HEAP_MEGABYTES + MEGABYTES_BESIDE_HEAP) * 1_048_576L,
                    DESCRIPTORS - FREE_DESCRIPTORS);

    private static final int REQUEST_TIMEOUT_MILLIS = 3_000;
    private static final Duration SENDING_TIME = Duration.ofSeconds(20);
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private LocalFleet mFleet;
    private EntryProcess mEntry;

    @BeforeEach
    void startEntry() throws Exception {
        mFleet =
                LocalFleet.startStandIns(
                        Deployment.AL_HABSI,
                        TargetsFile.parse("targets", Deployment.AL_HABSI.readTargets()),
                        1);
        mEntry =
                EntryProcess.startWithDescriptorLimit(
                        mFleet.entrySettings(0),
                        DESCRIPTORS,
                        List.of("-Xmx" + HEAP_MEGABYTES + "m", "-Xss256k"));
        Eventually.within(START_LIMIT, "the entry serves", this::servesOrdinaryRequest);
    }

    @AfterEach
    void stop() {
        mEntry.close();
        mFleet.close();
    }

    @Test
    void requestsSentAheadWithAKeyEachAndUnreadResponsesLeaveAServingEntry() throws Exception {
        String lines = "a:\r\n".repeat(80);
        check(
                crowd -> {
                    crowd.connect(150);
                    crowd.send(
                            (connection, number) -> request(connection + "." + number, lines),
                            2_000,
                            SENDING_TIME);
                });
    }

    @Test
    void headsOfManyLongLinesThatNeverEndLeaveAServingEntry() throws Exception {
        String line = "a: " + "b".repeat(15_000) + "\r\n";
        check(
                crowd -> {
                    crowd.connect(150);
                    crowd.send(
                            (connection, number) -> number == 0 ? "GET / HTTP/1.1\r\n" : line,
                            90,
                            SENDING_TIME);
                });
    }

    @Test
    void bodiesThatNeverEndLeaveAServingEntry() throws Exception {
        String part = "b".repeat(39_000);
        String head = "Content-Length: 4000000\r\n";
        check(
                crowd -> {
                    crowd.connect(100);
                    crowd.send(
                            (connection, number) ->
                                    number == 0 ? request("body-" + connection, head) : part,
                            100,
                            SENDING_TIME);
                });
    }

    @Test
    void connectionsOpenedAllAtOnceOfWhichHalfLeaveEarlyLeaveAServingEntry() throws Exception {
        check(
                crowd -> {
                    for (int i = 0; i < 4; i++) {
                        crowd.connect(500);
                        crowd.leaveByHalf();
                    }
                });
    }

    @Test
    void connectionsThatSendNothingLeaveAServingEntry() throws Exception {
        check(crowd -> crowd.connect(1_000));
    }

    private void check(Behavior behavior) throws IOException {
        try (CallerCrowd crowd = CallerCrowd.at(mEntry.callerAddress())) {
            behavior.run(crowd);
            BOUNDS.requireServing(mEntry.process(), this::servesOrdinaryRequest);
        }
    }

    private boolean servesOrdinaryRequest() {
        try (Socket socket = new Socket()) {
            socket.connect(mEntry.callerAddress().toSocketAddress(), REQUEST_TIMEOUT_MILLIS);
            socket.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
            String request = request("ordinary", "Connection: close\r\n");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    private String request(String idempotencyKey, String furtherLines) {
        boolean hasBody = furtherLines.startsWith("Content-Length");
        return "POST /services/ticket-desk/buy HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + mFleet.keysByTeam().get("harbour")
                + "\r\nIdempotency-Key: "
                + idempotencyKey
                + "\r\n"
                + furtherLines
                + (hasBody ? "" : "Content-Length: 0\r\n")
                + "\r\n";
    }

    /** What a crowd does. */
    private interface Behavior {
        void run(CallerCrowd crowd) throws IOException;
    }
}
