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
import org.vanilladoor.http.HttpCallOut;
import org.vanilladoor.http.HttpLinks;
import org.vanilladoor.http.HttpReply;

/**
 * Speaks to the platform over HTTP.
 *
 * <p>Invariant: each call is sent at most once and counted by its kind before it is sent. Safe for
 * use by any thread; calls run on the executor that was given.
 */
public final class HttpPlatform implements ObjectStore, Platform {
    private static final int MAXIMUM_OBJECT_BYTES = 1_000_000;
    private static final int MAXIMUM_ANSWER_BYTES = 16_000_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(2);
    private final HostPort mAddress;
    private final String mCredential;
    private final HttpLinks mLinks;
    private final Executor mExecutor;
    private final MetricRegistry mMetrics;
    private final PlatformCallLimiter mBudget;

    private HttpPlatform(
            HostPort address,
            String credential,
            HttpLinks links,
            Executor executor,
            MetricRegistry metrics,
            PlatformCallLimiter budget) {
        mAddress = address;
        mCredential = credential;
        mLinks = links;
        mExecutor = executor;
        mMetrics = metrics;
        mBudget = budget;
    }

    /**
     * Returns a client of the platform.
     *
     * @param address where the platform answers
     * @param credential the system's own credential
     * @param links connections to use
     * @param executor runs the calls, which block
     * @param metrics holds a counter for each kind of call
     * @param budget limits the calls a second
     */
    public static HttpPlatform create(
            HostPort address,
            String credential,
            HttpLinks links,
            Executor executor,
            MetricRegistry metrics,
            PlatformCallLimiter budget) {
        return new HttpPlatform(address, credential, links, executor, metrics, budget);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        HttpCallOut request = HttpCallOut.get("/objects/" + name);
        return call(CallKind.READ, request, ANSWER_LIMIT, reply -> storedObject(name, reply));
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String name, long above, Duration wait) {
        String query = "?above=" + above + "&wait=" + wait.toMillis();
        HttpCallOut request = HttpCallOut.get("/objects/" + name + query);
        return call(
                CallKind.WATCH,
                request,
                wait.plus(ANSWER_LIMIT),
                reply -> storedObject(name, reply));
    }

    @Override
    public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
        if (content.length > MAXIMUM_OBJECT_BYTES) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "object is over a megabyte: " + name + " has " + content.length));
        }
        HttpCallOut request =
                new HttpCallOut(
                        "PUT",
                        "/objects/" + name + "?expected=" + expectedVersion,
                        Map.of(),
                        "application/octet-stream",
                        content,
                        false);
        return call(
                CallKind.WRITE,
                request,
                ANSWER_LIMIT,
                reply -> {
                    if (reply.status() == PRECONDITION_FAILED) {
                        reply.readAll(MAXIMUM_ANSWER_BYTES);
                        throw new VersionConflictException(name);
                    }
                    expectOk(reply);
                    reply.readAll(MAXIMUM_ANSWER_BYTES);
                    return version(reply);
                });
    }

    @Override
    public CompletableFuture<List<String>> list(String prefix) {
        return listOf(CallKind.LIST, "/objects?prefix=" + encode(prefix), new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        HttpCallOut request =
                new HttpCallOut(
                        "DELETE",
                        "/objects/" + name,
                        Map.of(),
                        "application/json",
                        new byte[0],
                        false);
        return call(CallKind.WRITE, request, ANSWER_LIMIT, HttpPlatform::acknowledged);
    }

    @Override
    public CompletableFuture<List<EndpointDescription>> listEndpoints() {
        return listOf(CallKind.ENDPOINTS, "/endpoints", new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<List<VirtualMachine>> listVirtualMachines() {
        return listOf(CallKind.MACHINES, "/machines", new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> sendUsageReport(UsageReport report) {
        HttpCallOut request = HttpCallOut.postOnce("/usage", Json.write(report));
        return call(CallKind.USAGE, request, ANSWER_LIMIT, HttpPlatform::acknowledged);
    }

    @Override
    public CompletableFuture<List<UsageReport>> listUsageReports(long window) {
        return listOf(CallKind.USAGE, "/usage?window=" + window, new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<Void> sendFleetOrder(FleetOrder order) {
        HttpCallOut request = HttpCallOut.postOnce("/orders", Json.write(order));
        return call(CallKind.ORDER, request, ANSWER_LIMIT, HttpPlatform::acknowledged);
    }

    @Override
    public CompletableFuture<List<String>> listOrderIdentifiers(String failureDomain) {
        String target = "/orders?failure_domain=" + encode(failureDomain);
        return listOf(CallKind.ORDER, target, new TypeReference<>() {});
    }

    private <T> CompletableFuture<List<T>> listOf(
            CallKind kind, String target, TypeReference<List<T>> type) {
        return call(
                kind,
                HttpCallOut.get(target),
                ANSWER_LIMIT,
                reply -> {
                    expectOk(reply);
                    return Json.read(reply.readAll(MAXIMUM_ANSWER_BYTES), type);
                });
    }

    private <T> CompletableFuture<T> call(
            CallKind kind, HttpCallOut request, Duration limit, ReplyReader<T> reader) {
        if (!mBudget.tryAcquire(kind)) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException("call budget is used up: " + kind));
        }
        mMetrics.counter(kind.metricName()).inc();
        HttpCallOut signed = request.withHeader("Authorization", "Bearer " + mCredential);
        return CompletableFuture.supplyAsync(() -> answer(signed, limit, reader), mExecutor);
    }

    private <T> T answer(HttpCallOut request, Duration limit, ReplyReader<T> reader) {
        try (HttpReply reply = mLinks.send(mAddress, request, limit)) {
            return reader.read(reply);
        } catch (IOException | UncheckedIOException e) {
            throw new StoreUnavailableException("platform gave no answer", e);
        }
    }

    private static Optional<StoredObject> storedObject(String name, HttpReply reply)
            throws IOException {
        byte[] content = reply.readAll(MAXIMUM_ANSWER_BYTES);
        if (reply.status() == NOT_FOUND) {
            return Optional.empty();
        }
        expectOk(reply);
        return Optional.of(new StoredObject(name, version(reply), content));
    }

    private static Void acknowledged(HttpReply reply) throws IOException {
        expectOk(reply);
        reply.readAll(MAXIMUM_ANSWER_BYTES);
        return null;
    }

    private static void expectOk(HttpReply reply) {
        if (reply.status() != OK) {
            throw new StoreUnavailableException("platform answered " + reply.status());
        }
    }

    private static long version(HttpReply reply) {
        return reply.header("X-Version")
                .map(Long::parseLong)
                .orElseThrow(() -> new StoreUnavailableException("answer names no version"));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Turns an answer into a result. */
    @FunctionalInterface
    private interface ReplyReader<T> {
        T read(HttpReply reply) throws IOException;
    }
}
