package org.vanilladoor.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;
import org.vanilladoor.provider.EndpointDescription;
import org.vanilladoor.provider.FleetOrder;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.UsageReport;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.provider.VirtualMachine;

/**
 * An HTTP server that stands in for the platform of the entries and keeps all data in memory.
 *
 * <p>Paths: {@code /objects}, {@code /endpoints}, {@code /machines}, {@code /usage}, {@code
 * /orders} and, for tests, {@code /faults} and {@code /record}. Safe for use by any thread.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final String OBJECT_PATH_PREFIX = "/objects/";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAXIMUM_OBJECT_BYTES = 1_048_576;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
    private final ObjectTable mObjects = ObjectTable.create();
    private final Map<String, EndpointDescription> mEndpoints = new ConcurrentHashMap<>();
    private final Map<String, VirtualMachine> mMachines = new ConcurrentHashMap<>();
    private final List<UsageReport> mUsage = new ArrayList<>();

    /** Guarded by the monitor of {@code mUsage}. */
    private final List<FleetOrder> mOrders = new ArrayList<>();

    private final AtomicLong mObjectRequests = new AtomicLong();
    private final AtomicLong mWriteResponses = new AtomicLong();
    private volatile PlatformFaults mFaults = PlatformFaults.NONE;
    private HttpService mService;

    private PlatformStandIn() {}

    /**
     * Starts a platform.
     *
     * @param address address to listen at
     * @param endpoints endpoints to list from the start
     * @throws IOException if the address can't be bound
     */
    public static PlatformStandIn start(HostPort address, Collection<EndpointDescription> endpoints)
            throws IOException {
        PlatformStandIn platform = new PlatformStandIn();
        endpoints.forEach(platform::putEndpoint);
        platform.mService =
                HttpService.start("platform", address, IDLE_TIMEOUT, null, platform::handle);
        return platform;
    }

    /** Returns the address that the platform listens at. */
    public HostPort address() {
        return mService.address();
    }

    public ObjectTable objects() {
        return mObjects;
    }

    /** Adds an endpoint to the list, or replaces the one with the same name. */
    public void putEndpoint(EndpointDescription endpoint) {
        mEndpoints.put(endpoint.name(), endpoint);
    }

    /** Removes an endpoint from the list. */
    public void removeEndpoint(String name) {
        mEndpoints.remove(name);
    }

    /** Adds a VM to the list, or replaces the one with the same name. */
    public void putMachine(VirtualMachine machine) {
        mMachines.put(machine.name(), machine);
    }

    /** Replaces the simulated faults. */
    public void setFaults(PlatformFaults faults) {
        mFaults = faults;
    }

    /** Returns a snapshot of the requests received so far. */
    public PlatformRecord record() {
        synchronized (mUsage) {
            return new PlatformRecord(mObjects.writes(), mObjectRequests.get(), mUsage, mOrders);
        }
    }

    @Override
    public void close() {
        mService.close();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.path();
        if (path.equals("/faults")) {
            mFaults = Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), PlatformFaults.class);
            exchange.respondJson(200, Json.write(mFaults));
        } else if (path.equals("/record")) {
            exchange.respondJson(200, Json.write(record()));
        } else {
            delayRequest();
            handlePlatformRequest(exchange, path);
        }
    }

    private void handlePlatformRequest(HttpExchange exchange, String path) throws IOException {
        if (path.startsWith("/objects")) {
            failIf(mFaults.objectsDown());
            mObjectRequests.incrementAndGet();
            handleObject(exchange, path);
        } else if (path.equals("/endpoints")) {
            handleEndpoints(exchange);
        } else if (path.equals("/machines")) {
            handleMachines(exchange);
        } else if (path.equals("/usage")) {
            failIf(mFaults.usageDown());
            handleUsage(exchange);
        } else if (path.equals("/orders")) {
            failIf(mFaults.ordersDown());
            handleOrder(exchange);
        } else {
            throw new ProblemException(Problem.notRun(404, "unknown-path", path));
        }
    }

    private void handleObject(HttpExchange exchange, String path) throws IOException {
        String name =
                path.length() > OBJECT_PATH_PREFIX.length()
                        ? path.substring(OBJECT_PATH_PREFIX.length())
                        : "";
        switch (exchange.method()) {
            case "GET" -> {
                if (name.isEmpty()) {
                    String prefix = exchange.queryParameter("prefix").orElse("");
                    exchange.respondJson(200, Json.write(mObjects.list(prefix)));
                } else {
                    sendObject(exchange, name);
                }
            }
            case "PUT" -> writeObject(exchange, name);
            case "DELETE" -> {
                mObjects.delete(name);
                exchange.respondJson(200, Json.write(true));
            }
            default -> throw new ProblemException(Problem.notRun(405, "method", "not known"));
        }
    }

    private void sendObject(HttpExchange exchange, String name) {
        Optional<Long> aboveVersion = exchange.queryParameter("above").map(Long::parseLong);
        Optional<StoredObject> found;
        if (aboveVersion.isPresent()) {
            found =
                    watchObject(
                            name,
                            aboveVersion.get(),
                            exchange.queryParameter("wait").map(Long::parseLong).orElse(0L));
        } else {
            found = mObjects.read(name);
        }
        if (found.isEmpty()) {
            exchange.respondJson(404, Json.write(false));
        } else {
            exchange.setResponseHeader("X-Version", Long.toString(found.get().version()));
            exchange.respond(200, "application/octet-stream", found.get().content());
        }
    }

    private Optional<StoredObject> watchObject(String name, long aboveVersion, long waitMillis) {
        try {
            Optional<StoredObject> found = mObjects.watch(name, aboveVersion, waitMillis);
            failIf(mFaults.objectsDown());
            return found;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void writeObject(HttpExchange exchange, String name) throws IOException {
        byte[] content = exchange.readBody(MAXIMUM_OBJECT_BYTES);
        long expectedVersion = exchange.queryParameter("expected").map(Long::parseLong).orElse(0L);
        try {
            long version = mObjects.write(name, expectedVersion, content);
            int lossInterval = mFaults.loseEveryNthAnswer();
            failIf(lossInterval > 0 && mWriteResponses.incrementAndGet() % lossInterval == 0);
            exchange.setResponseHeader("X-Version", Long.toString(version));
            exchange.respondJson(200, Json.write(true));
        } catch (VersionConflictException e) {
            exchange.respondJson(412, Json.write(false));
        }
    }

    private void handleEndpoints(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("PUT")) {
            putEndpoint(
                    Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), EndpointDescription.class));
        } else if (exchange.method().equals("DELETE")) {
            removeEndpoint(exchange.queryParameter("name").orElse(""));
        }
        exchange.respondJson(200, Json.write(List.copyOf(mEndpoints.values())));
    }

    private void handleMachines(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("PUT")) {
            putMachine(Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), VirtualMachine.class));
        }
        exchange.respondJson(200, Json.write(List.copyOf(mMachines.values())));
    }

    private void handleUsage(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("POST")) {
            UsageReport report =
                    Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), UsageReport.class);
            synchronized (mUsage) {
                mUsage.add(report);
            }
            exchange.respondJson(200, Json.write(true));
        } else {
            long window = exchange.queryParameter("window").map(Long::parseLong).orElse(-1L);
            synchronized (mUsage) {
                exchange.respondJson(
                        200,
                        Json.write(
                                mUsage.stream()
                                        .filter(report -> report.window() == window)
                                        .toList()));
            }
        }
    }

    private void handleOrder(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("POST")) {
            FleetOrder order = Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), FleetOrder.class);
            synchronized (mUsage) {
                mOrders.add(order);
            }
            exchange.respondJson(200, Json.write(true));
        } else {
            String domain = exchange.queryParameter("failure_domain").orElse("");
            synchronized (mUsage) {
                exchange.respondJson(
                        200,
                        Json.write(
                                mOrders.stream()
                                        .filter(order -> order.failureDomain().equals(domain))
                                        .map(FleetOrder::identifier)
                                        .toList()));
            }
        }
    }

    private void delayRequest() {
        int millis = mFaults.answerDelayMillis();
        if (millis > 0) {
            LockSupport.parkNanos(millis * NANOS_PER_MILLI);
        }
    }

    private static void failIf(boolean outage) {
        if (outage) {
            throw new ProblemException(
                    Problem.mayHaveRun(503, "outage", "The stand-in shows an outage.", false));
        }
    }
}
