package org.vanilladoor.provider;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;

/**
 * Client of the platform over HTTP.
 *
 * <p>Invariant: each call is sent at most once, and is counted under its {@link CallKind} before it
 * is sent. A call over the rate limit is not sent and fails with {@link StoreUnavailableException}.
 * Safe for use by any thread; calls run on the given executor.
 */
public final class HttpPlatform implements ObjectStore, Platform {
    private static final int MAXIMUM_OBJECT_BYTES = 1_000_000;
    private static final int MAXIMUM_RESPONSE_BYTES = 16_000_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private final HostPort mAddress;
    private final String mCredential;
    private final HttpConnectionPool mConnections;
    private final Executor mExecutor;
    private final MetricRegistry mMetrics;
    private final PlatformCallLimiter mCallLimiter;

    private HttpPlatform(
            HostPort address,
            String credential,
            HttpConnectionPool connections,
            Executor executor,
            MetricRegistry metrics,
            PlatformCallLimiter callLimiter) {
        mAddress = address;
        mCredential = credential;
        mConnections = connections;
        mExecutor = executor;
        mMetrics = metrics;
        mCallLimiter = callLimiter;
    }

    /**
     * Returns a client of the platform.
     *
     * @param address address of the platform's API
     * @param credential bearer token with which this system authenticates
     * @param connections pool of HTTP connections
     * @param executor runs the calls, which block their thread
     * @param metrics registry with a counter for each kind of call
     * @param callLimiter limits the rate of calls
     */
    public static HttpPlatform create(
            HostPort address,
            String credential,
            HttpConnectionPool connections,
            Executor executor,
            MetricRegistry metrics,
            PlatformCallLimiter callLimiter) {
        return new HttpPlatform(address, credential, connections, executor, metrics, callLimiter);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        HttpClientRequest request = HttpClientRequest.get("/objects/" + name);
        return call(
                CallKind.READ,
                request,
                RESPONSE_TIMEOUT,
                response -> readStoredObject(name, response));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
            String name, long afterVersion, Duration timeout) {
        String query = "?above=" + afterVersion + "&wait=" + timeout.toMillis();
        HttpClientRequest request = HttpClientRequest.get("/objects/" + name + query);
        return call(
                CallKind.WATCH,
                request,
                timeout.plus(RESPONSE_TIMEOUT),
                response -> readStoredObject(name, response));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        if (content.length > MAXIMUM_OBJECT_BYTES) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "object is larger than 1000000 bytes: "
                                    + name
                                    + " has "
                                    + content.length));
        }
        HttpClientRequest request =
                new HttpClientRequest(
                        "PUT",
                        "/objects/" + name + "?expected=" + expectedVersion,
                        Map.of(),
                        "application/octet-stream",
                        content,
                        false);
        return call(
                CallKind.WRITE,
                request,
                RESPONSE_TIMEOUT,
                response -> {
                    if (response.status() == STATUS_PRECONDITION_FAILED) {
                        response.readAll(MAXIMUM_RESPONSE_BYTES);
                        throw new VersionConflictException(name);
                    }
                    requireOk(response);
                    response.readAll(MAXIMUM_RESPONSE_BYTES);
                    return version(response);
                });
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        return getList(
                CallKind.LIST, "/objects?prefix=" + encode(prefix), new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        HttpClientRequest request =
                new HttpClientRequest(
                        "DELETE",
                        "/objects/" + name,
                        Map.of(),
                        "application/json",
                        new byte[0],
                        false);
        return call(CallKind.WRITE, request, RESPONSE_TIMEOUT, HttpPlatform::readAcknowledgement);
    }

    @Override
    public CompletableFuture<List<EndpointDescription>> listEndpoints() {
        return getList(CallKind.ENDPOINTS, "/endpoints", new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<List<VirtualMachine>> listVirtualMachines() {
        return getList(CallKind.MACHINES, "/machines", new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> sendUsageReport(UsageReport report) {
        HttpClientRequest request = HttpClientRequest.postOnce("/usage", Json.write(report));
        return call(CallKind.USAGE, request, RESPONSE_TIMEOUT, HttpPlatform::readAcknowledgement);
    }

    @Override
    public CompletableFuture<List<UsageReport>> listUsageReports(long window) {
        return getList(CallKind.USAGE, "/usage?window=" + window, new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> sendFleetOrder(FleetOrder order) {
        HttpClientRequest request = HttpClientRequest.postOnce("/orders", Json.write(order));
        return call(CallKind.ORDER, request, RESPONSE_TIMEOUT, HttpPlatform::readAcknowledgement);
    }

    @Override
    public CompletableFuture<List<String>> listOrderIdentifiers(String failureDomain) {
        String target = "/orders?failure_domain=" + encode(failureDomain);
        return getList(CallKind.ORDER, target, new TypeReference<>() {});
    }

    private <T> CompletableFuture<List<T>> getList(
            CallKind kind, String target, TypeReference<List<T>> type) {
        return call(
                kind,
                HttpClientRequest.get(target),
                RESPONSE_TIMEOUT,
                response -> {
                    requireOk(response);
                    return Json.read(response.readAll(MAXIMUM_RESPONSE_BYTES), type);
                });
    }

    private <T> CompletableFuture<T> call(
            CallKind kind,
            HttpClientRequest request,
            Duration timeout,
            ResponseReader<T> responseReader) {
        if (!mCallLimiter.tryAcquire(kind)) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException(
                            "limit of platform calls per second reached; call not sent: " + kind));
        }
        mMetrics.counter(kind.metricName()).inc();
        HttpClientRequest authorized = request.withHeader("Authorization", "Bearer " + mCredential);
        return CompletableFuture.supplyAsync(
                () -> send(authorized, timeout, responseReader), mExecutor);
    }

    private <T> T send(
            HttpClientRequest request, Duration timeout, ResponseReader<T> responseReader) {
        try (HttpClientResponse response = mConnections.send(mAddress, request, timeout)) {
            return responseReader.read(response);
        } catch (IOException | UncheckedIOException e) {
            throw new StoreUnavailableException("platform did not respond", e);
        }
    }

    private static Optional<StoredObject> readStoredObject(String name, HttpClientResponse response)
            throws IOException {
        byte[] content = response.readAll(MAXIMUM_RESPONSE_BYTES);
        if (response.status() == STATUS_NOT_FOUND) {
            return Optional.empty();
        }
        requireOk(response);
        return Optional.of(new StoredObject(name, version(response), content));
    }

    private static Void readAcknowledgement(HttpClientResponse response) throws IOException {
        requireOk(response);
        response.readAll(MAXIMUM_RESPONSE_BYTES);
        return null;
    }

    private static void requireOk(HttpClientResponse response) {
        if (response.status() != STATUS_OK) {
            throw new StoreUnavailableException(
                    "platform responded with HTTP status " + response.status());
        }
    }

    private static long version(HttpClientResponse response) {
        return response.header("X-Version")
                .map(Long::parseLong)
                .orElseThrow(
                        () ->
                                new StoreUnavailableException(
                                        "platform response has no X-Version header"));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Converts a response to a result. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(HttpClientResponse response) throws IOException;
    }
}
