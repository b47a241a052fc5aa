package org.vanilladoor.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;

/**
 * HTTP client of an entry's operators' port. Authenticates with the credential in the environment
 * variable {@code VANILLADOOR_CREDENTIAL}.
 *
 * <p>Not safe for use by several threads.
 */
final class OperatorClient implements AutoCloseable {
    private static final String CREDENTIAL_VARIABLE = "VANILLADOOR_CREDENTIAL";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
    private static final int HTTP_OK = 200;
    private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1_024 * 1_024;
    private final HostPort mAddress;
    private final String mCredential;
    private final HttpConnectionPool mConnectionPool = HttpConnectionPool.create(CONNECT_TIMEOUT);

    private OperatorClient(HostPort address, String credential) {
        mAddress = address;
        mCredential = credential;
    }

    /** Returns the options that select the entry. */
    static Options options() {
        return new Options()
                .addOption(
                        CommandArguments.requiredOption(
                                "entry", "HOST:PORT", "operators' port of an entry"));
    }

    /**
     * Returns a client of the entry that the options select.
     *
     * @throws UsageException if the credential is not set or the address is invalid
     */
    static OperatorClient fromOptions(CommandLine line) {
        String credential = System.getenv(CREDENTIAL_VARIABLE);
        if (credential == null || credential.isEmpty()) {
            throw new UsageException(CREDENTIAL_VARIABLE + " is not set");
        }
        try {
            return create(HostPort.parse(line.getOptionValue("entry")), credential);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    /** Returns a client of the entry at an operators' address. */
    static OperatorClient create(HostPort address, String credential) {
        return new OperatorClient(address, credential);
    }

    /** Sends a request and returns the response, whatever its status. */
    Response send(String method, String target, byte[] body) throws IOException {
        HttpClientRequest request =
                new HttpClientRequest(
                        method,
                        target,
                        Map.of("Authorization", "Bearer " + mCredential),
                        "application/octet-stream",
                        body,
                        method.equals("GET"));
        try (HttpClientResponse reply = mConnectionPool.send(mAddress, request, RESPONSE_TIMEOUT)) {
            return new Response(reply.status(), reply.readAll(MAXIMUM_RESPONSE_BYTES));
        }
    }

    /** Sends a request without a body. */
    Response send(String method, String target) throws IOException {
        return send(method, target, new byte[0]);
    }

    @Override
    public void close() {
        mConnectionPool.close();
    }

    /**
     * A response of an entry.
     *
     * <p>Shares the array of the body, which must not be modified; otherwise immutable.
     */
    record Response(int status, byte[] body) {
        boolean isOk() {
            return status == HTTP_OK;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }
}
