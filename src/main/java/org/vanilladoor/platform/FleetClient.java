package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.SendPermit;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.leader.FleetOperations;
import org.vanilladoor.leader.FleetPermit;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.transport.ConnectionUse;

/**
 * Sends usage reports and orders in the format of the operators' platform.
 *
 * <p>Usage reports and scaling orders go to the platform's cloud interface, role changes to the
 * engines. Invariants: no call is retried; each goes over a connection that has carried no call
 * before, since nothing in a response tells which call it belongs to; calls of the lease holder are
 * sent and under way only within their permit. Confined to the control thread.
 */
final class FleetClient implements FleetOperations {
    /** Time-out for a response; the platform usually responds within a few milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    private final PlatformCalls mCalls;
    private final ObjectClient mStore;
    private final Optional<HostPort> mCloudAddress;

    private FleetClient(PlatformCalls calls, ObjectClient store, Optional<HostPort> cloudAddress) {
        mCalls = calls;
        mStore = store;
        mCloudAddress = cloudAddress;
    }

    static FleetClient create(
            PlatformCalls calls, ObjectClient store, Optional<HostPort> cloudAddress) {
        return new FleetClient(calls, store, cloudAddress);
    }

    @Override
    public CompletableFuture<Void> reportUsage(
            long window, Map<String, Long> counts, FleetPermit permit) {
        Map<String, Object> body = new TreeMap<>();
        body.put("window_id", window);
        body.put("counts", counts);
        return sendToCloud("/usage", body, permit)
                .thenAccept(PlatformCalls.Response::requireSuccess);
    }

    @Override
    public CompletableFuture<Boolean> scale(ScaleOrder order, FleetPermit permit) {
        Map<String, Object> body = new TreeMap<>();
        body.put("service", order.service());
        body.put("zone", order.failureDomain());
        body.put("desired", order.count());
        if (order.reclaimable()) {
            body.put("spot", true);
        }
        return sendToCloud("/scale", body, permit)
                .thenApply(
                        response -> {
                            // The platform can't provide that many endpoints.
                            if (response.status() == HttpStatus.SC_CONFLICT) {
                                return false;
                            }
                            response.requireSuccess();
                            return true;
                        });
    }

    @Override
    public CompletableFuture<EngineReport> readEngineReport(Endpoint engine) {
        HttpRequest request = OperatorWireFormat.newEndpointRequest("GET", "/api/report", engine);
        return send(engine.address(), request, Optional.empty(), SendPermit.UNLIMITED)
                .thenApply(response -> decodeEngineReport(response.requireSuccess()));
    }

    @Override
    public CompletableFuture<Void> announceRole(
            Endpoint engine, EngineRole role, boolean changing, FleetPermit permit) {
        return mStore.updateStatus(
                EndpointFeed.KIND,
                engine.name(),
                status ->
                        status.setAll(
                                EndpointDecoder.encodeRoleAnnouncement(engine, role, changing)),
                permit.sendPermit());
    }

    @Override
    public CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long acceptedOrders, FleetPermit permit) {
        Map<String, Object> body = new TreeMap<>();
        body.put("op", "phase");
        body.put("phase", EndpointDecoder.encodeRole(role));
        body.put("holder", permit.token().holder());
        body.put("fence", permit.token().term());
        body.put("expected", acceptedOrders);
        HttpRequest request = OperatorWireFormat.newEndpointRequest("POST", "/api/order", engine);
        return send(engine.address(), request, Optional.of(body), permit.sendPermit())
                .thenAccept(PlatformCalls.Response::requireSuccess);
    }

    private CompletableFuture<PlatformCalls.Response> sendToCloud(
            String path, Object body, FleetPermit permit) {
        if (mCloudAddress.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException(
                            "the settings contain no cloud address for " + path));
        }
        HttpRequest request = new BasicHttpRequest("POST", path);
        request.addHeader(Headers.HOLDER, permit.token().holder());
        request.addHeader(Headers.TERM, permit.token().term());
        return send(mCloudAddress.get(), request, Optional.of(body), permit.sendPermit());
    }

    private CompletableFuture<PlatformCalls.Response> send(
            HostPort address, HttpRequest request, Optional<Object> body, SendPermit permit) {
        return mCalls.send(
                address, ConnectionUse.NEW, request, body, RESPONSE_TIMEOUT_MILLIS, permit);
    }

    private static EngineReport decodeEngineReport(JsonNode report) {
        JsonNode role = report.path("phase");
        JsonNode busy = report.path("busy");
        // Number of accepted orders, not of received messages.
        JsonNode acceptedOrders = report.path("seq");
        if (!role.isTextual() || !busy.isBoolean() || !acceptedOrders.isIntegralNumber()) {
            throw new StoreUnavailableException("the response is no report of an engine");
        }
        return new EngineReport(
                EndpointDecoder.decodeRole(role), busy.asBoolean(), acceptedOrders.asLong());
    }
}
