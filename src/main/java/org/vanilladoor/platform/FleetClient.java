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
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.leader.FencingToken;
import org.vanilladoor.leader.FleetOperations;
import org.vanilladoor.provider.StoreUnavailableException;

/**
 * Sends usage reports and orders in the format of the operators' platform.
 *
 * <p>Usage reports and scaling orders go to the platform's cloud interface, role changes to the
 * engines. Invariant: no call is retried. Confined to the control thread.
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
            long window, Map<String, Long> counts, FencingToken token) {
        Map<String, Object> body = new TreeMap<>();
        body.put("window_id", window);
        body.put("counts", counts);
        return sendToCloud("/usage", body, token)
                .thenAccept(PlatformCalls.Response::requireSuccess);
    }

    @Override
    public CompletableFuture<Boolean> scale(ScaleOrder order, FencingToken token) {
        Map<String, Object> body = new TreeMap<>();
        body.put("service", order.service());
        body.put("zone", order.failureDomain());
        body.put("desired", order.count());
        if (order.reclaimable()) {
            body.put("spot", true);
        }
        return sendToCloud("/scale", body, token)
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
        return mCalls.send(engine.address(), request, Optional.empty(), RESPONSE_TIMEOUT_MILLIS)
                .thenApply(
                        response -> {
                            JsonNode report = response.requireSuccess();
                            return new EngineReport(
                                    EndpointDecoder.decodeRole(report.path("phase")),
                                    report.path("busy").asBoolean(false),
                                    // Number of accepted orders, not of received messages.
                                    report.path("seq").asLong());
                        });
    }

    @Override
    public CompletableFuture<Void> announceRole(
            Endpoint engine, EngineRole role, boolean changing) {
        return mStore.writeStatus(
                EndpointFeed.KIND,
                engine.name(),
                EndpointDecoder.encodeRoleAnnouncement(engine, role, changing));
    }

    @Override
    public CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long acceptedOrders, FencingToken token) {
        Map<String, Object> body = new TreeMap<>();
        body.put("op", "phase");
        body.put("phase", EndpointDecoder.encodeRole(role));
        body.put("holder", token.holder());
        body.put("fence", token.term());
        body.put("expected", acceptedOrders);
        HttpRequest request = OperatorWireFormat.newEndpointRequest("POST", "/api/order", engine);
        return mCalls.send(engine.address(), request, Optional.of(body), RESPONSE_TIMEOUT_MILLIS)
                .thenAccept(PlatformCalls.Response::requireSuccess);
    }

    private CompletableFuture<PlatformCalls.Response> sendToCloud(
            String path, Object body, FencingToken token) {
        if (mCloudAddress.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException(
                            "the settings contain no cloud address for " + path));
        }
        HttpRequest request = new BasicHttpRequest("POST", path);
        request.addHeader(Headers.HOLDER, token.holder());
        request.addHeader(Headers.TERM, token.term());
        return mCalls.send(
                mCloudAddress.get(), request, Optional.of(body), RESPONSE_TIMEOUT_MILLIS);
    }
}
