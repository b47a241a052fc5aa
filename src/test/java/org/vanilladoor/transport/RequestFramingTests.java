package org.vanilladoor.transport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MemoryBudget;

/** Requests whose body may be taken for further requests. */
@Timeout(60)
class RequestFramingTests {
    private static final String INNER =
            "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int SEQUENCES = 40;
    private final ControlLoop mControl = ControlLoop.start("control");
    private final List<String> mReceived = new CopyOnWriteArrayList<>();
    private FrontServer mServer;

    @BeforeEach
    void start() throws IOException {
        mServer =
                FrontServer.start(
                        new HostPort("127.0.0.1", 0),
                        mControl,
                        MemoryBudget.ofHeap(),
                        8_192,
                        () -> 10_000,
                        this::receive);
    }

    @AfterEach
    void stop() {
        mServer.close();
        mControl.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n",
                "Content-Length: LENGTH\r\nContent-Length: 5\r\n",
                "Content-Length: LENGTH\r\nContent-Length: LENGTH\r\n",
                "Content-Length: LENGTH, 5\r\n",
                "Content-Length: +LENGTH\r\n",
                "Content-Length: -1\r\n",
                "Content-Length: 0x5\r\n",
                "Content-Length: 99999999999999999999\r\n",
                "Content-Length: \r\n",
                "Content-Length : LENGTH\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked, identity\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding : chunked\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: chunked\0\r\n",
                "X-Own: a\0b\r\nContent-Length: LENGTH\r\n",
                "Content-Length: LENGTH\r\nContent-Length: 6\r\n",
                "Bad Name: x\r\nContent-Length: LENGTH\r\n",
                "no colon\r\nContent-Length: LENGTH\r\n"
            })
    void aRequestWithAnAmbiguousBodyIsRejectedAndItsConnectionClosed(String headers)
            throws IOException {
        String body = "0\r\n\r\n" + INNER;
        String head = headers.replace("LENGTH", Integer.toString(body.length()));
        String response = exchange("POST /outer HTTP/1.1\r\nHost: h\r\n" + head + "\r\n" + body);
        assertRejected(response);
    }

    @Test
    void chunksInARequestOfHttp10AreRejected() throws IOException {
        String response = exchange("POST /outer HTTP/1.0\r\n" + CHUNKED + "\r\n0\r\n\r\n" + INNER);
        assertRejected(response);
    }

    // Guards against chunks that a stricter reader in front of this one delimits otherwise.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "-0\r\n\r\n",
                "+0\r\n\r\n",
                " 0\r\n\r\n",
                "\t0\r\n\r\n",
                "0 \r\n\r\n",
                "0x0\r\n\r\n",
                "\r\n0\r\n\r\n",
                ";extension\r\n\r\n",
                "10000000000000000\r\n\r\n",
                "0\n\r\n",
                "0\r\n\n",
                "0\r\nX-Trailer: 1\n\r\n",
                "0;extension\n\r\n",
                "5;extension\nbytes\r\n0\r\n\r\n",
                "5;a=\"\n\"\r\nbytes\r\n0\r\n\r\n",
                "5;\0\r\nbytes\r\n0\r\n\r\n",
                "5\r\nbytes\n0\r\n\r\n",
                "5\r\nbytes0\r\n\r\n",
                "5\r\nbyte\r\n0\r\n\r\n",
                "0\r\nno colon\r\n\r\n",
                "0\r\nBad Name: 1\r\n\r\n",
                "0\r\n: 1\r\n\r\n",
                "0\r\n folded: 1\r\n\r\n"
            })
    void aRequestWithAnAmbiguousChunkIsRejectedAndItsConnectionClosed(String chunks)
            throws IOException {
        String response =
                exchange("POST /outer HTTP/1.1\r\nHost: h\r\n" + CHUNKED + "\r\n" + chunks + INNER);
        assertRejected(response);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 28})
    void endpointsGetExactlyTheRequestsThatWereSent(long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        for (int sequence = 0; sequence < SEQUENCES; sequence++) {
            mReceived.clear();
            List<String> expected = new ArrayList<>();
            StringBuilder bytes = new StringBuilder();
            int count = 1 + random.nextInt(4);
            for (int number = 0; number < count; number++) {
                String body = randomBody(random);
                bytes.append("POST /").append(number).append(" HTTP/1.1\r\nHost: h\r\n");
                bytes.append(number == count - 1 ? "Connection: close\r\n" : "");
                bytes.append(randomFraming(random, body));
                expected.add("/" + number + " " + body);
            }
            exchange(bytes.toString());
            assertWithMessage("seed %s, sequence %s", seed, sequence)
                    .that(mReceived)
                    .containsExactlyElementsIn(expected)
                    .inOrder();
        }
    }

    private void assertRejected(String response) {
        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(response).contains("Connection: close");
        assertThat(response.indexOf("HTTP/1.1", 1)).isEqualTo(-1);
        assertThat(mReceived).isEmpty();
    }

    private static String randomBody(SplittableRandom random) {
        List<String> pieces = List.of(INNER, "0\r\n\r\n", "\r\n", "5\r\nbytes\r\n", "text", "\n");
        StringBuilder body = new StringBuilder();
        for (int piece = random.nextInt(5); piece > 0; piece--) {
            body.append(pieces.get(random.nextInt(pieces.size())));
        }
        return body.toString();
    }

    private static String randomFraming(SplittableRandom random, String body) {
        if (random.nextBoolean()) {
            return "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        StringBuilder framed = new StringBuilder(CHUNKED + "\r\n");
        int start = 0;
        while (start < body.length()) {
            int size = 1 + random.nextInt(body.length() - start);
            framed.append(random.nextBoolean() ? "0" : "").append(Integer.toHexString(size));
            framed.append(random.nextBoolean() ? ";extension=1\r\n" : "\r\n");
            framed.append(body, start, start + size).append("\r\n");
            start += size;
        }
        return framed + "0\r\n" + (random.nextBoolean() ? "X-Trailer: 1\r\n" : "") + "\r\n";
    }

    private void receive(FrontExchange exchange) {
        String received =
                exchange.request().getRequestUri()
                        + " "
                        + new String(exchange.body(), StandardCharsets.ISO_8859_1);
        mReceived.add(received);
        exchange.respond(
                new BasicHttpResponse(200),
                ("received " + received).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends the bytes and returns all that arrives until the server closes the connection. */
    private String exchange(String bytes) throws IOException {
        try (Socket caller = new Socket("127.0.0.1", mServer.address().port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
