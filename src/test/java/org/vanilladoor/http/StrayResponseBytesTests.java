package org.vanilladoor.http;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Servers that send bytes that belong to no response on a connection that is kept. */
@Timeout(60)
class StrayResponseBytesTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String EARLIER = "HTTP/1.1 200 OK\r\nX-Earlier: 1\r\nX-Cut: in the midd";
    private static final String FAILURE =
            "HTTP/1.1 500 Failed\r\nX-Request-Id: second\r\nContent-Length: 4\r\n\r\nfail";
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(TIMEOUT);

    @AfterEach
    void close() {
        mConnectionPool.close();
    }

    @ParameterizedTest
    @EnumSource(Arrival.class)
    void noRemainderOfASuccessTurnsALaterFailureIntoASuccess(Arrival arrival) throws IOException {
        for (int length = 1; length <= EARLIER.length(); length++) {
            String result = resultAfter(arrival, EARLIER.substring(0, length));
            assertWithMessage("%s of %s bytes", arrival, length)
                    .that(result)
                    .isIn(arrival.possibleResults());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Arrival.class,
            names = {"WITH_THE_RESPONSE", "WHILE_IDLE"})
    void aWholeResponseToNoRequestIsNotTakenForTheNextResponse(Arrival arrival) throws IOException {
        for (String stray : List.of("\r\n", EARLIER + "\r\nContent-Length: 5\r\n\r\nstray")) {
            assertWithMessage(stray).that(resultAfter(arrival, stray)).isEqualTo("500 fail");
        }
    }

    @Test
    void aSuccessWhoseBodyHasTwoLengthsIsNotReturned() throws IOException {
        String twoLengths =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nwhole";
        try (ScriptedServer server = new ScriptedServer(twoLengths, "", FAILURE)) {
            assertWithMessage("two lengths").that(get(server)).isEqualTo("failure");
        }
    }

    @Test
    void aConnectionIsNotReusedAfterTheServerSaysThatItClosesIt() throws IOException {
        String last = "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 4\r\n\r\ndone";
        try (ScriptedServer server = new ScriptedServer(last, "", FAILURE)) {
            get(server);
            get(server);
            assertWithMessage("connections").that(server.connectionCount()).isEqualTo(2);
        }
    }

    @Test
    void aHeadThatIsCutOffIsNotAResponse() throws IOException {
        String whole = "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 0\r\nX-Last: 2\r\n\r\n";
        for (int length = 0; length < whole.length(); length++) {
            try (ScriptedServer server = new ScriptedServer(whole.substring(0, length), "", "")) {
                server.closeAfterFirst();
                assertWithMessage("%s bytes", length).that(get(server)).isEqualTo("failure");
            }
        }
    }

    @Test
    void aBodyThatIsCutOffInsideAChunkSizeIsNotComplete() throws IOException {
        String start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
        for (String size : List.of("", "0", "00", "0\r", "0\r\n")) {
            try (ScriptedServer server = new ScriptedServer(start + size, "", "")) {
                server.closeAfterFirst();
                assertWithMessage("chunk size %s", size).that(get(server)).isEqualTo("failure");
            }
        }
    }

    @Test
    void aCompleteResponseIsNotFailedByTheEndOfItsConnection() throws IOException {
        String head = "HTTP/1.1 200 OK\r\n";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
        String withLength = head + "Content-Length: 4\r\n\r\ndone";
        String withoutLength = head + "\r\ndone";
        for (String whole : List.of(chunked, withLength, withoutLength)) {
            for (int number = 0; number < 50; number++) {
                try (ScriptedServer server = new ScriptedServer(whole, "", "")) {
                    server.closeAfterFirst();
                    assertWithMessage(whole).that(get(server)).isEqualTo("200 done");
                }
            }
        }
    }

    private String resultAfter(Arrival arrival, String stray) throws IOException {
        String first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        ScriptedServer server =
                switch (arrival) {
                    case WITH_THE_RESPONSE -> new ScriptedServer(first + stray, "", FAILURE);
                    case WHILE_IDLE -> new ScriptedServer(first, stray, FAILURE);
                    case AFTER_THE_NEXT_REQUEST -> new ScriptedServer(first, "", stray + FAILURE);
                };
        try (server) {
            get(server);
            server.awaitFirstServed();
            return get(server);
        }
    }

    private String get(ScriptedServer server) {
        try (HttpClientResponse response =
                mConnectionPool.send(server.address(), HttpClientRequest.get("/"), TIMEOUT)) {
            String body = new String(response.readAll(1_000), StandardCharsets.UTF_8);
            return response.status() + " " + body;
        } catch (IOException e) {
            return "failure";
        }
    }

    /** When the bytes arrive at the client. */
    private enum Arrival {
        WITH_THE_RESPONSE,
        WHILE_IDLE,
        AFTER_THE_NEXT_REQUEST;

        List<String> possibleResults() {
            // Once the request was sent, its response can't be told from the rest of another.
            return this == AFTER_THE_NEXT_REQUEST
                    ? List.of("failure", "500 fail")
                    : List.of("500 fail");
        }
    }
}
