package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/** Guards against requests that are read ahead without a bound, and against such that get lost. */
@Timeout(60)
class RequestsSentAheadTests {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int QUIET_MILLIS = 200;
    private static final int MANY = 2_000;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final MemoryBudget mMemory = MemoryBudget.of(1_000_000);
    private final BlockingQueue<FrontExchange> mReceived = new LinkedBlockingQueue<>();
    private FrontServer mServer;
    private Socket mCaller;

    @BeforeEach
    void start() throws IOException {
        mServer =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        mMemory,
                        8_192,
                        () -> 1_000,
                        mReceived::add);
        mCaller = new Socket("127.0.0.1", mServer.address().port());
        mCaller.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        mCaller.close();
        mServer.close();
        mControl.close();
    }

    @Test
    void aRequestIsReadOnlyOnceTheResponseToTheOneBeforeHasBeenWritten() throws Exception {
        send(3);
        FrontExchange first = receive();
        assertThat(mReceived.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        respond(first);
        FrontExchange second = receive();
        assertThat(mReceived.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        respond(second);
        respond(receive());
    }

    @Test
    void manyRequestsSentAheadAreAnsweredInTheirOrder() throws Exception {
        send(MANY);
        for (int number = 0; number < MANY; number++) {
            FrontExchange exchange = receive();
            assertThat(exchange.request().getRequestUri()).isEqualTo("/" + number);
            assertThat(exchange.body()).hasLength(4);
            respond(exchange);
        }
    }

    @Test
    void aCallerThatLeavesWhileItsRequestIsOpenIsNoticed() throws Exception {
        send(1);
        FrontExchange exchange = receive();
        LinkedBlockingQueue<String> left = new LinkedBlockingQueue<>();
        exchange.onDisconnect(() -> left.add("left"));
        mCaller.close();
        assertThat(left.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("left");
    }

    private void send(int count) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (int number = 0; number < count; number++) {
            requests.append("POST /")
                    .append(number)
                    .append(" HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
        }
        mCaller.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private FrontExchange receive() throws InterruptedException {
        FrontExchange exchange = mReceived.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    private void respond(FrontExchange exchange) throws IOException {
        exchange.respond(new BasicHttpResponse(200), new byte[0]);
        StringBuilder response = new StringBuilder();
        while (response.indexOf("\r\n\r\n") < 0) {
            response.append((char) mCaller.getInputStream().read());
        }
        assertThat(response.toString()).startsWith("HTTP/1.1 200 ");
    }
}
