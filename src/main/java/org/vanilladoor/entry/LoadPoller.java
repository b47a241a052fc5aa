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
 * Asks endpoints for their load.
 *
 * <p>Two live members of an endpoint's failure domain ask it, and whoever hears nothing of it asks
 * too. Invariant: at most one question to an endpoint is open. Belongs to the control thread.
 */
final class LoadPoller {
    private static final Logger LOG = LogManager.getLogger(LoadPoller.class);
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(1);
    private static final int ASKERS = 2;
    private static final int MAXIMUM_REPORT_BYTES = 65_536;
    private static final long STALE_MILLIS = 1_500;
    private final ControlLoop mControl;
    private final ExecutorService mThreads;
    private final HttpConnectionPool mLinks;
    private final MembershipCore mMembership;
    private final DispatchCore mCore;
    private final LoadBoard mBoard;
    private final Set<String> mAsking = new HashSet<>();

    private LoadPoller(EntryContext context, LoadBoard board) {
        mControl = context.control();
        mThreads = context.threads();
        mLinks = context.links();
        mMembership = context.membership();
        mCore = context.core();
        mBoard = board;
    }

    static LoadPoller start(EntryContext context, LoadBoard board) {
        LoadPoller poller = new LoadPoller(context, board);
        context.control().scheduleWithFixedDelay(PERIOD, poller::round);
        return poller;
    }

    private void round() {
        long now = MonotonicClock.nowMillis();
        List<EndpointView> views = mCore.endpoints();
        Set<String> names = new HashSet<>();
        for (EndpointView view : views) {
            EndpointDescription endpoint = view.description();
            names.add(endpoint.name());
            if (isAsker(endpoint, now) && mAsking.add(endpoint.name())) {
                mThreads.execute(() -> ask(endpoint));
            }
        }
        mBoard.retain(names);
    }

    private boolean isAsker(EndpointDescription endpoint, long now) {
        if (mBoard.ageMillis(endpoint.name(), now) > STALE_MILLIS) {
            return true;
        }
        List<String> members = mMembership.liveNames(endpoint.failureDomain(), now);
        return RendezvousRanking.rank("load/" + endpoint.name(), members).stream()
                .limit(ASKERS)
                .anyMatch(mMembership.self().name()::equals);
    }

    private void ask(EndpointDescription endpoint) {
        long asked = MonotonicClock.nowMillis();
        try (HttpClientResponse reply =
                mLinks.send(endpoint.hostPort(), HttpClientRequest.get("/load"), ANSWER_LIMIT)) {
            LoadReport report = Json.read(reply.readAll(MAXIMUM_REPORT_BYTES), LoadReport.class);
            mControl.execute(() -> mBoard.put(endpoint.name(), report, asked));
        } catch (IOException | UncheckedIOException e) {
            LOG.debug("load: Endpoint {} told nothing: {}.", endpoint.name(), e.getMessage());
        } finally {
            mControl.execute(() -> mAsking.remove(endpoint.name()));
        }
    }
}
