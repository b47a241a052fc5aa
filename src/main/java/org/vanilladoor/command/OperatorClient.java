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
 * Calls the operators' port of an entry.
 *
 * <p>Used by one thread.
 */
final class OperatorClient implements AutoCloseable {
    private static final String CREDENTIAL_VARIABLE = "VANILLADOOR_CREDENTIAL";
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1_024 * 1_024;
    private final HostPort mAddress;
    private final String mCredential;
    private final HttpConnectionPool mLinks = HttpConnectionPool.create(Duration.ofSeconds(2));

    private OperatorClient(HostPort address, String credential) {
        mAddress = address;
        mCredential = credential;
    }

    /** Returns the options that name the entry. */
    static Options options() {
        return new Options()
                .addOption(
                        CommandFiles.required("entry", "HOST:PORT", "operators' port of an entry"));
    }

    /** Returns a client of the entry that the options name. */
    static OperatorClient of(CommandLine line) {
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

    /** Returns a client of an entry. */
    static OperatorClient create(HostPort address, String credential) {
        return new OperatorClient(address, credential);
    }

    /** Calls the entry and returns its answer, whatever its status. */
    Answer call(String method, String target, byte[] body) throws IOException {
        HttpClientRequest request =
                new HttpClientRequest(
                        method,
                        target,
                        Map.of("Authorization", "Bearer " + mCredential),
                        "application/octet-stream",
                        body,
                        method.equals("GET"));
        try (HttpClientResponse reply = mLinks.send(mAddress, request, LIMIT)) {
            return new Answer(reply.status(), reply.readAll(MAXIMUM_ANSWER_BYTES));
        }
    }

    /** Calls the entry without a body. */
    Answer call(String method, String target) throws IOException {
        return call(method, target, new byte[0]);
    }

    @Override
    public void close() {
        mLinks.close();
    }

    /**
     * An answer of an entry.
     *
     * <p>Immutable but for the body's bytes, which nobody may change.
     */
    record Answer(int status, byte[] body) {
        boolean isOk() {
            return status == 200;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }
}
