package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.PieceBuffer;

/**
 * One request to a server and the response to it.
 *
 * <p>Invariant: exactly one {@code respond} method is called. Used by the one thread that serves
 * the connection.
 */
public final class HttpExchange {
    private static final int COPY_BYTES = 8192;
    private static final Duration BODY_READ_TIMEOUT = Duration.ofSeconds(60);
    private final ClassicHttpRequest mRequest;
    private final ClassicHttpResponse mResponse;
    private final URI mUri;
    private final MemoryBudget.Account mBodyAccount;

    private HttpExchange(
            ClassicHttpRequest request,
            ClassicHttpResponse response,
            URI uri,
            MemoryBudget.Account body) {
        mRequest = request;
        mResponse = response;
        mUri = uri;
        mBodyAccount = body;
    }

    /**
     * Returns the exchange of a request.
     *
     * @param body account of the memory that the body takes
     */
    static HttpExchange create(
            ClassicHttpRequest request, ClassicHttpResponse response, MemoryBudget.Account body) {
        try {
            return new HttpExchange(request, response, new URI(request.getRequestUri()), body);
        } catch (URISyntaxException e) {
            throw new ProblemException(
                    Problem.notRun(400, "malformed-target", "The request target is not a URI."));
        }
    }

    /** Returns the method as sent. */
    public String method() {
        return mRequest.getMethod();
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return mUri.getPath() == null ? "/" : mUri.getPath();
    }

    /** Returns the target as sent: path and query. */
    public String target() {
        return mRequest.getRequestUri();
    }

    /** Returns the decoded value of the first query parameter of the given name. */
    public Optional<String> queryParameter(String name) {
        String query = mUri.getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).equals(name)) {
                String value = pair.substring(equals + 1);
                return Optional.of(URLDecoder.decode(value, StandardCharsets.UTF_8));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the value of a header.
     *
     * @throws ProblemException if the request has several headers of this name
     */
    public Optional<String> header(String name) {
        Header[] headers = mRequest.getHeaders(name);
        if (headers.length > 1) {
            throw new ProblemException(
                    Problem.notRun(
                            400, "repeated-header", "Header appears more than once: " + name));
        }
        return headers.length == 0 ? Optional.empty() : Optional.of(headers[0].getValue());
    }

    /**
     * Reads the whole body.
     *
     * @param maximumBytes maximum length of the body
     * @throws ProblemException if the body is longer, takes more than 60 s to arrive, or finds no
     *     memory
     */
    public byte[] readBody(int maximumBytes) throws IOException {
        HttpEntity entity = mRequest.getEntity();
        if (entity == null) {
            return new byte[0];
        }
        if (entity.getContentLength() > maximumBytes) {
            throw tooLarge(maximumBytes);
        }
        PieceBuffer body = PieceBuffer.create();
        InputStream content = entity.getContent();
        byte[] buffer = new byte[COPY_BYTES];
        long end = System.nanoTime() + BODY_READ_TIMEOUT.toNanos();
        for (int count = content.read(buffer); count >= 0; count = content.read(buffer)) {
            if (body.size() + count > maximumBytes) {
                throw tooLarge(maximumBytes);
            }
            if (!mBodyAccount.tryResize(body.size() + count)) {
                throw refuseUnreadBody(
                        Problem.notRunRetryAfter(
                                503, "no-memory", "There is no memory for the body.", 1));
            }
            body.add(Arrays.copyOf(buffer, count));
            if (System.nanoTime() > end) {
                throw refuseUnreadBody(
                        Problem.notRun(
                                408,
                                "body-too-slow",
                                "Reading the body took more than " + BODY_READ_TIMEOUT + "."));
            }
        }
        return body.toByteArray();
    }

    /** Sets a header of the response. */
    public void setResponseHeader(String name, String value) {
        mResponse.setHeader(name, value);
    }

    /** Sends a body held in memory. */
    public void respond(int status, String contentType, byte[] body) {
        mResponse.setCode(status);
        mResponse.setEntity(new ByteArrayEntity(body, ContentType.parse(contentType)));
    }

    /** Sends JSON in UTF-8. */
    public void respondJson(int status, byte[] json) {
        respond(status, "application/json", json);
    }

    /** Sends a problem document. */
    public void respond(Problem problem) {
        if (problem.retryAfterSeconds() > 0) {
            setResponseHeader("Retry-After", Integer.toString(problem.retryAfterSeconds()));
        }
        respond(problem.status(), "application/problem+json", problem.toJson());
    }

    /** Sends a body of unknown length that the writer produces while the caller reads it. */
    public void respondStream(int status, String contentType, StreamWriter writer) {
        mResponse.setCode(status);
        mResponse.setEntity(
                new EntityTemplate(-1, ContentType.parse(contentType), null, writer::write));
    }

    /** Sends a body of a given length in bytes that the writer produces. */
    public void respondStream(int status, String contentType, long length, StreamWriter writer) {
        mResponse.setCode(status);
        mResponse.setEntity(
                new EntityTemplate(length, ContentType.parse(contentType), null, writer::write));
    }

    private ProblemException tooLarge(int maximumBytes) {
        return refuseUnreadBody(
                Problem.notRun(
                        413, "body-too-large", "The body exceeds " + maximumBytes + " bytes."));
    }

    /**
     * Returns the refusal of a request whose body is not read to its end; its connection is closed.
     */
    private ProblemException refuseUnreadBody(Problem problem) {
        mRequest.setEntity(null);
        mResponse.setHeader("Connection", "close");
        return new ProblemException(problem);
    }

    /** Writes a response body as it is produced; runs on the connection's thread. */
    @FunctionalInterface
    public interface StreamWriter {
        /**
         * Writes the whole body.
         *
         * @throws IOException if the caller disconnected or the body can't be completed; the
         *     connection is then closed, but a body of unknown length may look complete, so a
         *     stream needs its own end marker
         */
        void write(OutputStream output) throws IOException;
    }
}
