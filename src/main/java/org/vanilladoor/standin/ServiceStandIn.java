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
 * A small stand-in for a plain service, whose calls may not all be repeated.
 *
 * <p>It answers any path with what it received and records each call with its idempotency key. Safe
 * for use by any thread.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 64 * 1_024 * 1_024;
    private static final int MAXIMUM_CALLS = 64;
    private static final Duration IDLE = Duration.ofMinutes(5);
    private final int mServiceMillis;
    private final List<String> mRequests = new ArrayList<>();
    private final List<String> mIdempotencyKeys = new ArrayList<>();
    private final Set<String> mCredentials = new LinkedHashSet<>();
    private final AtomicInteger mInside = new AtomicInteger();
    private volatile EngineFaults mFaults = EngineFaults.NONE;
    private HttpService mService;

    private ServiceStandIn(int serviceMillis) {
        mServiceMillis = serviceMillis;
    }

    /**
     * Starts a service.
     *
     * @param address where it answers
     * @param serviceMillis how long a call takes
     * @throws IOException if the address can't be bound
     */
    public static ServiceStandIn start(HostPort address, int serviceMillis) throws IOException {
        ServiceStandIn service = new ServiceStandIn(serviceMillis);
        service.mService = HttpService.start("service", address, IDLE, null, service::handle);
        return service;
    }

    /** Returns the address in use. */
    public HostPort address() {
        return mService.address();
    }

    /** Shows the given faults from now on. */
    public void setFaults(EngineFaults faults) {
        mFaults = faults;
    }

    /** Returns what has reached the service. */
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
            case "/load" -> exchange.respondJson(200, Json.write(load()));
            case "/record" -> exchange.respondJson(200, Json.write(record()));
            case "/faults" -> {
                mFaults = Json.read(exchange.readBody(MAXIMUM_BODY_BYTES), EngineFaults.class);
                exchange.respondJson(200, Json.write(true));
            }
            default -> call(exchange);
        }
    }

    private void call(HttpExchange exchange) throws IOException {
        byte[] body = exchange.readBody(MAXIMUM_BODY_BYTES);
        String identifier = exchange.header("X-Request-Id").orElse("none");
        synchronized (this) {
            mRequests.add(identifier);
            exchange.header("Idempotency-Key").ifPresent(mIdempotencyKeys::add);
            exchange.header("Authorization").ifPresent(mCredentials::add);
        }
        mInside.incrementAndGet();
        try {
            LockSupport.parkNanos(mServiceMillis * 1_000_000L);
        } finally {
            mInside.decrementAndGet();
        }
        EngineFaults faults = mFaults;
        exchange.setResponseHeader(
                "X-Request-Id", faults.wrongIdentifier() ? "another-request" : identifier);
        if (faults.silent()) {
            throw new IOException("service stays silent");
        }
        String text = exchange.method() + " " + exchange.target() + " " + body.length;
        exchange.respond(200, "text/plain", (identifier + " " + text + "\n").getBytes());
    }

    private LoadReport load() {
        return new LoadReport(
                EngineRole.MIXED, false, mInside.get(), 0, MAXIMUM_CALLS, "", mFaults.leaving());
    }
}
