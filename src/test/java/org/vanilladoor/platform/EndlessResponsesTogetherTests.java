package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanilladoor.common.MemoryBudget.Use;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.platform.ScriptedEndpoint.Answer;
import org.vanilladoor.platform.ScriptedEndpoint.Received;

/**
 * Guards against responses without end that use up the memory together, though each is limited, or
 * the time of the threads that all connections share.
 */
@Timeout(120)
class EndlessResponsesTogetherTests extends GatewayFixture {
    private static final int ENDLESS_REQUESTS = 48;
    private static final int SOUND_REQUESTS = 40;

    /** Longer than the time-out of the route, so that responses grow until then. */
    private static final long PRESSURE_MILLIS = 2_000;

    private static final String KILOBYTE = "x".repeat(1_024);
    private static final String CHUNK = "400\r\n" + KILOBYTE + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n" + CHUNKED;

    /** The window of an endpoint, as much unread output, and what is on its way between them. */
    private static final long MAXIMUM_BYTES_OF_A_STREAM = 4 * 64 * 1_024;

    private static final int BLOCK_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 65_536;
    private static final long PAUSE_MILLIS = 10;

    private final AtomicInteger mResets = new AtomicInteger();
    private volatile boolean mIsEnough;
    private final ExecutorService mCallers = Executors.newCachedThreadPool();

    @AfterEach
    void stopCallers() {
        mIsEnough = true;
        mCallers.shutdownNow();
    }

    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                Arguments.of("/once/endless", "Content-Type: text/plain\r\n" + CHUNKED, CHUNK),
                Arguments.of("/once/endless", "Content-Length: 999999999999\r\n\r\n", KILOBYTE),
                Arguments.of("/once/endless", "Content-Length: 16000000\r\n\r\n", KILOBYTE),
                Arguments.of("/once/endless", "\r\n", KILOBYTE),
                Arguments.of("/once/endless", "A: " + KILOBYTE, KILOBYTE),
                Arguments.of("/once/endless", "", "A: " + KILOBYTE + "\r\n"),
                Arguments.of("/once/endless", INTERIM, INTERIM),
                Arguments.of("/once/endless", CHUNKED, "1\r\nx\r\n"),
                Arguments.of("/once/endless", CHUNKED + "0\r\n", "A: " + KILOBYTE + "\r\n"),
                Arguments.of("/chat/endless", EVENTS, CHUNK),
                Arguments.of("/chat/endless", EVENTS, "3\r\n:\n\n\r\n"),
                Arguments.of("/chat/endless", EVENTS, chunk("data: " + KILOBYTE + "\n\n")));
    }

    private static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    @ParameterizedTest
    @MethodSource("endlessResponses")
    void otherRequestsAreServedMeanwhileAndMemoryIsBounded(
            String path, String start, String repeated) throws IOException {
        endpoint("e-1", received -> answer(received, start, repeated));
        endpoint("e-2", received -> answer(received, start, repeated));
        List<CompletableFuture<Void>> endless = new ArrayList<>();
        for (int number = 0; number < ENDLESS_REQUESTS; number++) {
            boolean isReading = number % 2 == 0;
            endless.add(CompletableFuture.runAsync(() -> callEndlessly(path, isReading), mCallers));
        }
        long peakBytes = 0;
        long endMillis = MonotonicClock.nowMillis() + PRESSURE_MILLIS;
        for (int number = 0;
                number < SOUND_REQUESTS || MonotonicClock.nowMillis() < endMillis;
                number++) {
            assertWithMessage("request %s", number)
                    .that(call("POST", "/safe/sound", "body"))
                    .endsWith("fine");
            peakBytes = Math.max(peakBytes, heldBytes());
        }
        mIsEnough = true;
        assertThat(peakBytes).isAtMost(MEMORY_BYTES);
        endless.forEach(CompletableFuture::join);
        waitUntil(() -> heldBytes() == 0);
    }

    @Test
    void anEndpointIsNotReadWhileItsCallerLeavesItsEventsUnread() throws IOException {
        String event = chunk("data: " + KILOBYTE + "\n\n").repeat(64);
        endpoint(
                "e",
                received -> Answer.endless(ScriptedEndpoint.head(received, 200) + EVENTS, event));
        long peakBytes = 0;
        try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
            socket.getOutputStream().write(request("POST", "/chat/endless", "body", "secret", ""));
            long endMillis = MonotonicClock.nowMillis() + TIMEOUT_MILLIS;
            while (MonotonicClock.nowMillis() < endMillis) {
                peakBytes = Math.max(peakBytes, heldBytes());
            }
        }
        assertThat(peakBytes).isAtLeast(1);
        assertThat(peakBytes).isAtMost(MAXIMUM_BYTES_OF_A_STREAM);
    }

    private long heldBytes() {
        return Stream.of(Use.values()).mapToLong(mMemory::heldBytes).sum();
    }

    private static Answer answer(Received received, String start, String repeated) {
        return received.head().contains("/endless")
                ? new Answer(
                        (start.equals(INTERIM) ? "" : ScriptedEndpoint.head(received, 200)) + start,
                        ScriptedEndpoint.End.ENDLESS_SLOW,
                        repeated.repeat(BLOCK_BYTES / repeated.length()))
                : ScriptedEndpoint.response(received, 200, "", "fine");
    }

    /** Sends requests one after the other; half of the callers read nothing of the responses. */
    private void callEndlessly(String path, boolean isReading) {
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!mIsEnough) {
            try (Socket socket = new Socket("127.0.0.1", mServer.address().port())) {
                socket.getOutputStream().write(request("POST", path, "body", "secret", ""));
                while (isReading && !mIsEnough && socket.getInputStream().read(buffer) >= 0) {
                    Thread.onSpinWait();
                }
                while (!isReading && !mIsEnough && mServer.isRunning()) {
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                // A response that is cut off may end with a reset.
                mResets.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
