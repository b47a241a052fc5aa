package org.vanilladoor.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;

/**
 * An HTTP server that stands in for a plain service.
 *
 * <p>Every path other than {@code /load}, {@code /record} and {@code /faults} is a call. The
 * response has the request's identifier, method, target and body size. Each call is recorded with
 * its idempotency key, because not all calls of a plain service may be retried. Safe for use by any
 * thread.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 64 * 1_024 * 1_024;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAXIMUM_CONCURRENT_CALLS = 64;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
    private final int mServiceMillis;
    private final List<String> mRequests = new ArrayList<>();
    private final List<String> mIdempotencyKeys = new ArrayList<>();
    private final Set<String> mCredentials = new LinkedHashSet<>();
    private final AtomicInteger mActiveCalls = new AtomicInteger();
    private volatile EngineFaults mFaults = EngineFaults.NONE;
    private HttpService mService;

    private ServiceStandIn(int serviceMillis) {
        mServiceMillis = serviceMillis;
    }

    /**
     * Starts a service.
     *
     * @param address address to listen at
     * @param serviceMillis duration of a call, in milliseconds
     * @throws IOException if the address can't be bound
     */
    public static ServiceStandIn start(HostPort address, int serviceMillis) throws IOException {
        ServiceStandIn service = new ServiceStandIn(serviceMillis);
        service.mService =
                HttpService.start("service", address, IDLE_TIMEOUT, null, service::handle);
        return service;
    }

    /** Returns the address that the service listens at. */
    public HostPort address() {
        return mService.address();
    }

    /** Replaces the simulated faults. */
    public void setFaults(EngineFaults faults) {
        mFaults = faults;
    }

    /** Returns a snapshot of the calls received so far. */
    public synchronized EndpointRecord record() {
        return new EndpointRecord(
                mRequests, mIdempotencyKeys, List.copyOf(mCredentials), List.of(), List.of(), 0, 0);
    }

    @Override
    public void close() {
        mService.close();
    }

    private void handle(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/load" -> exchange.respondJson(200, Json.write(currentLoadReport()));
            case "/record" -> exchange.respondJson(200, Json.write(record()));
            case "/faults" -> {
                mFaults = Json.read(exchange.readBody(MAXIMUM_BODY_BYTES), EngineFaults.class);
                exchange.respondJson(200, Json.write(true));
            }
            default -> handleCall(exchange);
        }
    }

    private void handleCall(HttpExchange exchange) throws IOException {
        byte[] body = exchange.readBody(MAXIMUM_BODY_BYTES);
        String identifier = exchange.header("X-Request-Id").orElse("none");
        synchronized (this) {
            mRequests.add(identifier);
            exchange.header("Idempotency-Key").ifPresent(mIdempotencyKeys::add);
            exchange.header("Authorization").ifPresent(mCredentials::add);
        }
        mActiveCalls.incrementAndGet();
        try {
            LockSupport.parkNanos(mServiceMillis * NANOS_PER_MILLI);
        } finally {
            mActiveCalls.decrementAndGet();
        }
        EngineFaults faults = mFaults;
        exchange.setResponseHeader(
                "X-Request-Id", faults.wrongIdentifier() ? "another-request" : identifier);
        if (faults.silent()) {
            throw new IOException("no response because of the fault silent");
        }
        String requestSummary = exchange.method() + " " + exchange.target() + " " + body.length;
        exchange.respond(200, "text/plain", (identifier + " " + requestSummary + "\n").getBytes());
    }

    private LoadReport currentLoadReport() {
        return new LoadReport(
                EngineRole.MIXED,
                false,
                mActiveCalls.get(),
                0,
                MAXIMUM_CONCURRENT_CALLS,
                "",
                mFaults.leaving());
    }
}
