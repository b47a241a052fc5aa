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
 * A small stand-in for the platform, over HTTP and in memory.
 *
 * <p>Paths: {@code /objects}, {@code /endpoints}, {@code /machines}, {@code /usage}, {@code
 * /orders}, and for tests {@code /faults} and {@code /record}. Safe for use by any thread.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final String OBJECTS = "/objects/";
    private static final int MAXIMUM_OBJECT_BYTES = 1_048_576;
    private static final Duration IDLE = Duration.ofMinutes(5);
    private final ObjectTable mObjects = ObjectTable.create();
    private final Map<String, EndpointDescription> mEndpoints = new ConcurrentHashMap<>();
    private final Map<String, VirtualMachine> mMachines = new ConcurrentHashMap<>();
    private final List<UsageReport> mUsage = new ArrayList<>();
    private final List<FleetOrder> mOrders = new ArrayList<>();
    private final AtomicLong mCalls = new AtomicLong();
    private final AtomicLong mWriteAnswers = new AtomicLong();
    private volatile PlatformFaults mFaults = PlatformFaults.NONE;
    private HttpService mService;

    private PlatformStandIn() {}

    /**
     * Starts a platform.
     *
     * @param address where it answers
     * @param endpoints endpoints that run from the start
     * @throws IOException if the address can't be bound
     */
    public static PlatformStandIn start(HostPort address, Collection<EndpointDescription> endpoints)
            throws IOException {
        PlatformStandIn platform = new PlatformStandIn();
        endpoints.forEach(platform::putEndpoint);
        platform.mService = HttpService.start("platform", address, IDLE, null, platform::handle);
        return platform;
    }

    /** Returns the address in use. */
    public HostPort address() {
        return mService.address();
    }

    /** Returns the objects. */
    public ObjectTable objects() {
        return mObjects;
    }

    /** Lists an endpoint, or lists it anew. */
    public void putEndpoint(EndpointDescription endpoint) {
        mEndpoints.put(endpoint.name(), endpoint);
    }

    /** Takes an endpoint off the list. */
    public void removeEndpoint(String name) {
        mEndpoints.remove(name);
    }

    /** Lists a VM, or lists it anew. */
    public void putMachine(VirtualMachine machine) {
        mMachines.put(machine.name(), machine);
    }

    /** Shows the given faults from now on. */
    public void setFaults(PlatformFaults faults) {
        mFaults = faults;
    }

    /** Returns what has reached the platform. */
    public PlatformRecord record() {
        synchronized (mUsage) {
            return new PlatformRecord(mObjects.writes(), mCalls.get(), mUsage, mOrders);
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
            delay();
            answer(exchange, path);
        }
    }

    private void answer(HttpExchange exchange, String path) throws IOException {
        if (path.startsWith("/objects")) {
            refuseIf(mFaults.objectsDown());
            mCalls.incrementAndGet();
            object(exchange, path);
        } else if (path.equals("/endpoints")) {
            endpoints(exchange);
        } else if (path.equals("/machines")) {
            machines(exchange);
        } else if (path.equals("/usage")) {
            refuseIf(mFaults.usageDown());
            usage(exchange);
        } else if (path.equals("/orders")) {
            refuseIf(mFaults.ordersDown());
            order(exchange);
        } else {
            throw new ProblemException(Problem.notRun(404, "unknown-path", path));
        }
    }

    private void object(HttpExchange exchange, String path) throws IOException {
        String name = path.length() > OBJECTS.length() ? path.substring(OBJECTS.length()) : "";
        switch (exchange.method()) {
            case "GET" -> {
                if (name.isEmpty()) {
                    String prefix = exchange.queryParameter("prefix").orElse("");
                    exchange.respondJson(200, Json.write(mObjects.list(prefix)));
                } else {
                    read(exchange, name);
                }
            }
            case "PUT" -> write(exchange, name);
            case "DELETE" -> {
                mObjects.delete(name);
                exchange.respondJson(200, Json.write(true));
            }
            default -> throw new ProblemException(Problem.notRun(405, "method", "not known"));
        }
    }

    private void read(HttpExchange exchange, String name) {
        Optional<Long> above = exchange.queryParameter("above").map(Long::parseLong);
        Optional<StoredObject> found;
        if (above.isPresent()) {
            found =
                    watch(
                            name,
                            above.get(),
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

    private Optional<StoredObject> watch(String name, long above, long waitMillis) {
        try {
            Optional<StoredObject> found = mObjects.watch(name, above, waitMillis);
            refuseIf(mFaults.objectsDown());
            return found;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void write(HttpExchange exchange, String name) throws IOException {
        byte[] content = exchange.readBody(MAXIMUM_OBJECT_BYTES);
        long expected = exchange.queryParameter("expected").map(Long::parseLong).orElse(0L);
        try {
            long version = mObjects.write(name, expected, content);
            int loseEvery = mFaults.loseEveryNthAnswer();
            refuseIf(loseEvery > 0 && mWriteAnswers.incrementAndGet() % loseEvery == 0);
            exchange.setResponseHeader("X-Version", Long.toString(version));
            exchange.respondJson(200, Json.write(true));
        } catch (VersionConflictException e) {
            exchange.respondJson(412, Json.write(false));
        }
    }

    private void endpoints(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("PUT")) {
            putEndpoint(
                    Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), EndpointDescription.class));
        } else if (exchange.method().equals("DELETE")) {
            removeEndpoint(exchange.queryParameter("name").orElse(""));
        }
        exchange.respondJson(200, Json.write(List.copyOf(mEndpoints.values())));
    }

    private void machines(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("PUT")) {
            putMachine(Json.read(exchange.readBody(MAXIMUM_OBJECT_BYTES), VirtualMachine.class));
        }
        exchange.respondJson(200, Json.write(List.copyOf(mMachines.values())));
    }

    private void usage(HttpExchange exchange) throws IOException {
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
                                mUsage.stream().filter(each -> each.window() == window).toList()));
            }
        }
    }

    private void order(HttpExchange exchange) throws IOException {
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
                                        .filter(each -> each.failureDomain().equals(domain))
                                        .map(FleetOrder::identifier)
                                        .toList()));
            }
        }
    }

    private void delay() {
        int millis = mFaults.answerDelayMillis();
        if (millis > 0) {
            LockSupport.parkNanos(millis * 1_000_000L);
        }
    }

    private static void refuseIf(boolean fault) {
        if (fault) {
            throw new ProblemException(
                    Problem.mayHaveRun(503, "outage", "The stand-in shows an outage.", false));
        }
    }
}
