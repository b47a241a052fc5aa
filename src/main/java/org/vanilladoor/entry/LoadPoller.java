package org.vanilladoor.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.common.RendezvousRanking;
import org.vanilladoor.dispatch.DispatchCore;
import org.vanilladoor.dispatch.EndpointView;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.http.HttpClientRequest;
import org.vanilladoor.http.HttpClientResponse;
import org.vanilladoor.http.HttpConnectionPool;
import org.vanilladoor.membership.MembershipCore;
import org.vanilladoor.provider.EndpointDescription;

/**
 * Polls endpoints for their load.
 *
 * <p>An endpoint is polled by two live entries of its failure domain, and by every entry that has
 * no recent report of it. Invariant: at most one request of this process to an endpoint is
 * outstanding. Confined to the control thread, except that requests are sent by the executor.
 */
final class LoadPoller {
    private static final Logger LOG = LogManager.getLogger(LoadPoller.class);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int POLLERS_PER_ENDPOINT = 2;
    private static final int MAXIMUM_REPORT_BYTES = 65_536;
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 1_500;
    private final ControlLoop mControl;
    private final ExecutorService mExecutor;
    private final HttpConnectionPool mConnections;
    private final MembershipCore mMembership;
    private final DispatchCore mDispatchCore;
    private final LoadTable mLoadTable;
    private final Set<String> mOutstandingPolls = new HashSet<>();

    private LoadPoller(EntryContext context, LoadTable loadTable) {
        mControl = context.control();
        mExecutor = context.executor();
        mConnections = context.connections();
        mMembership = context.membership();
        mDispatchCore = context.dispatchCore();
        mLoadTable = loadTable;
    }

    static LoadPoller start(EntryContext context, LoadTable loadTable) {
        LoadPoller poller = new LoadPoller(context, loadTable);
        context.control().scheduleWithFixedDelay(POLL_PERIOD, poller::pollEndpoints);
        return poller;
    }

    private void pollEndpoints() {
        long nowMillis = MonotonicClock.nowMillis();
        List<EndpointView> views = mDispatchCore.endpoints();
        Set<String> names = new HashSet<>();
        for (EndpointView view : views) {
            EndpointDescription endpoint = view.description();
            names.add(endpoint.name());
            if (isPollerOf(endpoint, nowMillis) && mOutstandingPolls.add(endpoint.name())) {
                mExecutor.execute(() -> poll(endpoint));
            }
        }
        mLoadTable.retainOnly(names);
    }

    private boolean isPollerOf(EndpointDescription endpoint, long nowMillis) {
        if (mLoadTable.ageMillis(endpoint.name(), nowMillis) > MAXIMUM_REPORT_AGE_MILLIS) {
            return true;
        }
        List<String> members = mMembership.liveNames(endpoint.failureDomain(), nowMillis);
        return RendezvousRanking.rank("load/" + endpoint.name(), members).stream()
                .limit(POLLERS_PER_ENDPOINT)
                .anyMatch(mMembership.self().name()::equals);
    }

    private void poll(EndpointDescription endpoint) {
        long sentMillis = MonotonicClock.nowMillis();
        try (HttpClientResponse reply =
                mConnections.send(
                        endpoint.hostPort(), HttpClientRequest.get("/load"), RESPONSE_TIMEOUT)) {
            LoadReport report = Json.read(reply.readAll(MAXIMUM_REPORT_BYTES), LoadReport.class);
            mControl.execute(() -> mLoadTable.putIfNewer(endpoint.name(), report, sentMillis));
        } catch (IOException | UncheckedIOException e) {
            LOG.debug("load: Polling endpoint {} failed: {}.", endpoint.name(), e.getMessage());
        } finally {
            mControl.execute(() -> mOutstandingPolls.remove(endpoint.name()));
        }
    }
}
