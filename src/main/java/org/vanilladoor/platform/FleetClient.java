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
 * Spells usage reports and orders as the operators' platform does.
 *
 * <p>Invariant: no call is repeated. Belongs to the control thread.
 */
final class FleetClient implements FleetOperations {
    /** Longest time for an answer, in milliseconds; the platform answers in a few. */
    private static final long ANSWER_MILLIS = 1_500;

    private final PlatformCalls mCalls;
    private final ObjectClient mStore;
    private final Optional<HostPort> mCloud;

    private FleetClient(PlatformCalls calls, ObjectClient store, Optional<HostPort> cloud) {
        mCalls = calls;
        mStore = store;
        mCloud = cloud;
    }

    static FleetClient create(PlatformCalls calls, ObjectClient store, Optional<HostPort> cloud) {
        return new FleetClient(calls, store, cloud);
    }

    @Override
    public CompletableFuture<Void> reportUsage(
            long window, Map<String, Long> counts, FencingToken authority) {
        Map<String, Object> body = new TreeMap<>();
        body.put("window_id", window);
        body.put("counts", counts);
        return toCloud("/usage", body, authority).thenAccept(PlatformCalls.Reply::good);
    }

    @Override
    public CompletableFuture<Boolean> scale(
            FleetOperations.ScaleOrder order, FencingToken authority) {
        Map<String, Object> body = new TreeMap<>();
        body.put("service", order.service());
        body.put("zone", order.failureDomain());
        body.put("desired", order.count());
        if (order.reclaimable()) {
            body.put("spot", true);
        }
        return toCloud("/scale", body, authority)
                .thenApply(
                        reply -> {
                            if (reply.status() == HttpStatus.SC_CONFLICT) {
                                return false;
                            }
                            reply.good();
                            return true;
                        });
    }

    @Override
    public CompletableFuture<EngineReport> readEngineReport(Endpoint engine) {
        HttpRequest request = OperatorWireFormat.toEndpoint("GET", "/api/report", engine);
        return mCalls.send(engine.address(), request, Optional.empty(), ANSWER_MILLIS)
                .thenApply(
                        reply -> {
                            JsonNode report = reply.good();
                            return new EngineReport(
                                    EndpointDecoder.role(report.path("phase")),
                                    report.path("busy").asBoolean(false),
                                    // Counts accepted orders, not messages.
                                    report.path("seq").asLong());
                        });
    }

    @Override
    public CompletableFuture<Void> announceRole(
            Endpoint engine, EngineRole role, boolean changing) {
        return mStore.writeStatus(
                EndpointFeed.KIND,
                engine.name(),
                EndpointDecoder.announcement(engine, role, changing));
    }

    @Override
    public CompletableFuture<Void> changeRole(
            Endpoint engine, EngineRole role, long accepted, FencingToken authority) {
        Map<String, Object> body = new TreeMap<>();
        body.put("op", "phase");
        body.put("phase", EndpointDecoder.phase(role));
        body.put("holder", authority.holder());
        body.put("fence", authority.term());
        body.put("expected", accepted);
        HttpRequest request = OperatorWireFormat.toEndpoint("POST", "/api/order", engine);
        return mCalls.send(engine.address(), request, Optional.of(body), ANSWER_MILLIS)
                .thenAccept(PlatformCalls.Reply::good);
    }

    private CompletableFuture<PlatformCalls.Reply> toCloud(
            String path, Object body, FencingToken authority) {
        if (mCloud.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException("the settings name no address for " + path));
        }
        HttpRequest request = new BasicHttpRequest("POST", path);
        request.addHeader(Headers.HOLDER, authority.holder());
        request.addHeader(Headers.TERM, authority.term());
        return mCalls.send(mCloud.get(), request, Optional.of(body), ANSWER_MILLIS);
    }
}
