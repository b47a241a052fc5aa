package org.vanilladoor.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineJob;
import org.vanilladoor.engine.EngineModel;
import org.vanilladoor.engine.EngineProfile;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.engine.PromptBlocks;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpService;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;

/**
 * An HTTP server that stands in for a model engine and has the timing of {@link EngineModel}.
 *
 * <p>Paths: {@code /v1/chat/completions}, {@code /v1/completions}, {@code /v1/prefill}, {@code
 * /v1/resume/ID}, {@code /load}, {@code /orders}, and, for tests, {@code /faults} and {@code
 * /record}. Safe for use by any thread; the monitor of this object guards the engine model.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 64 * 1_024 * 1_024;
    private static final long TICK_MILLIS = 5;
    private static final int DEFAULT_OUTPUT_TOKENS = 16;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
    private final String mModelName;
    private final boolean mChecksTerms;
    private final EngineModel mModel;
    private final ScheduledExecutorService mTicker;
    private final Map<String, EngineJob> mJobs = new HashMap<>();
    private final Deque<TimedLoadReport> mLoadReports = new ArrayDeque<>();
    private final List<String> mRequests = new ArrayList<>();
    private final Set<String> mCredentials = new LinkedHashSet<>();
    private final List<RoleOrder> mOrders = new ArrayList<>();
    private final List<RoleOrder> mRefusedOrders = new ArrayList<>();
    private EngineFaults mFaults = EngineFaults.NONE;
    private String mAppliedOrder = "";
    private long mHighestTerm;
    private int mAbortedRequests;
    private int mCancelledRequests;
    private HttpService mService;

    private EngineStandIn(
            String modelName, boolean checksTerms, EngineModel model, String threadName) {
        mModelName = modelName;
        mChecksTerms = checksTerms;
        mModel = model;
        mTicker =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Starts an engine.
     *
     * @param address address to listen at
     * @param modelName name of the model that it serves
     * @param profile speeds and sizes of the engine
     * @param role role that the engine starts in
     * @param checksTerms whether it refuses orders with a lower term than an earlier order had
     * @throws IOException if the address can't be bound
     */
    public static EngineStandIn start(
            HostPort address,
            String modelName,
            EngineProfile profile,
            EngineRole role,
            boolean checksTerms)
            throws IOException {
        EngineModel model = EngineModel.create(profile, role, nowMillis());
        EngineStandIn engine =
                new EngineStandIn(modelName, checksTerms, model, "engine-" + address.port());
        engine.mService = HttpService.start("engine", address, IDLE_TIMEOUT, null, engine::handle);
        engine.mTicker.scheduleAtFixedRate(
                engine::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return engine;
    }

    /** Returns the address that the engine listens at. */
    public HostPort address() {
        return mService.address();
    }

    /** Replaces the simulated faults. */
    public synchronized void setFaults(EngineFaults faults) {
        mFaults = faults;
    }

    /** Returns a snapshot of the requests and orders received so far. */
    public synchronized EndpointRecord record() {
        return new EndpointRecord(
                mRequests,
                List.of(),
                List.copyOf(mCredentials),
                mOrders,
                mRefusedOrders,
                mAbortedRequests,
                mCancelledRequests);
    }

    @Override
    public void close() {
        mTicker.shutdownNow();
        mService.close();
    }

    private synchronized void tick() {
        long now = nowMillis();
        mModel.advanceTo(now);
        mLoadReports.addLast(new TimedLoadReport(now, currentLoadReport()));
        while (mLoadReports.size() > 1
                && mLoadReports.getFirst().atMillis() < now - mFaults.loadLagMillis()) {
            mLoadReports.removeFirst();
        }
        notifyAll();
    }

    private LoadReport currentLoadReport() {
        return new LoadReport(
                mModel.role(),
                mModel.isChanging(),
                mModel.requests(),
                mModel.waitingPromptTokens(),
                mModel.profile().maximumStreams(),
                mAppliedOrder,
                mFaults.leaving());
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.path();
        switch (path) {
            case "/v1/chat/completions", "/v1/completions", "/v1/prefill" ->
                    handleCompletion(exchange, path);
            case "/load" -> exchange.respondJson(200, Json.write(delayedLoadReport()));
            case "/orders" -> handleOrder(exchange);
            case "/faults" -> {
                setFaults(Json.read(exchange.readBody(MAXIMUM_BODY_BYTES), EngineFaults.class));
                exchange.respondJson(200, Json.write(true));
            }
            case "/record" -> exchange.respondJson(200, Json.write(record()));
            default -> {
                if (!path.startsWith("/v1/resume/")) {
                    throw new ProblemException(Problem.notRun(404, "unknown-path", path));
                }
                handleResume(exchange, path.substring("/v1/resume/".length()));
            }
        }
    }

    /** Returns the oldest load report that is at most as old as the simulated lag. */
    private synchronized LoadReport delayedLoadReport() {
        return mLoadReports.isEmpty() ? currentLoadReport() : mLoadReports.getFirst().report();
    }

    private void handleCompletion(HttpExchange exchange, String path) throws IOException {
        String identifier = exchange.header("X-Request-Id").orElse("none");
        JsonNode body = Json.readTree(exchange.readBody(MAXIMUM_BODY_BYTES));
        EngineJob job = createJob(exchange, path, identifier, body);
        synchronized (this) {
            exchange.header("Authorization").ifPresent(mCredentials::add);
            mRequests.add(identifier);
            rejectDuringRoleChange();
            mJobs.put(identifier, job);
            mModel.submit(job);
        }
        EngineFaults faults = faults();
        exchange.setResponseHeader(
                "X-Request-Id", faults.wrongIdentifier() ? "another-request" : identifier);
        if (body.path("stream").asBoolean(false) && !path.equals("/v1/prefill")) {
            exchange.respondStream(
                    200, "text/event-stream", output -> streamTokens(output, job, body, 0));
        } else {
            sendWholeResponse(exchange, job, body);
        }
    }

    private EngineJob createJob(
            HttpExchange exchange, String path, String identifier, JsonNode body) {
        String prompt = PromptBlocks.promptText(body);
        int tokens = PromptBlocks.estimateTokens(prompt);
        EngineJob.Scope scope = EngineJob.Scope.WHOLE;
        if (path.equals("/v1/prefill")) {
            scope = EngineJob.Scope.PREFILL_ONLY;
        } else if (exchange.header("X-Kv-Source").isPresent()) {
            scope = EngineJob.Scope.DECODE_ONLY;
        }
        return EngineJob.create(
                identifier,
                exchange.header("X-Priority").map(Integer::parseInt).orElse(1),
                tokens,
                body.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS),
                PromptBlocks.digests(mModelName, prompt),
                scope);
    }

    private void handleResume(HttpExchange exchange, String identifier) {
        EngineJob job;
        synchronized (this) {
            job = mJobs.get(identifier);
        }
        if (job == null || job.isAborted()) {
            throw new ProblemException(Problem.notRun(404, "unknown-request", identifier));
        }
        int from = exchange.queryParameter("from").map(Integer::parseInt).orElse(0);
        exchange.setResponseHeader("X-Request-Id", identifier);
        exchange.respondStream(
                200,
                "text/event-stream",
                output -> streamTokens(output, job, Json.newObject(), from));
    }

    /** Sends a response that isn't streamed once all tokens are generated. */
    private void sendWholeResponse(HttpExchange exchange, EngineJob job, JsonNode body)
            throws IOException {
        int tokens = awaitTokens(job, job.outputTokens());
        EngineFaults faults = faults();
        if (tokens < 0 || faults.silent()) {
            throw new IOException(
                    "no response: the request was aborted or the fault silent is set");
        }
        byte[] response = StandInResponses.wholeResponse(mModelName, job, body);
        if (faults.shortAnswers()) {
            exchange.respondStream(
                    200,
                    "application/json",
                    response.length,
                    output -> {
                        output.write(response, 0, response.length / 2);
                        output.flush();
                        throw new IOException("response truncated by the fault shortAnswers");
                    });
        } else {
            exchange.respondJson(200, response);
        }
    }

    /** Streams the tokens of a request from the given position on. */
    private void streamTokens(OutputStream output, EngineJob job, JsonNode body, int from)
            throws IOException {
        int sent = from;
        try {
            while (sent < job.outputTokens()) {
                int generated = awaitTokens(job, sent + 1);
                EngineFaults faults = faults();
                boolean mayTruncate = faults.cutAfterTokens() > 0 && from == 0;
                if (generated < 0
                        || faults.silent()
                        || mayTruncate && sent >= faults.cutAfterTokens()) {
                    throw new IOException(
                            "stream ended: the request was aborted or a fault is simulated");
                }
                for (; sent < generated; sent++) {
                    output.write(StandInResponses.tokenEvent(mModelName, job.identifier(), sent));
                }
                output.flush();
            }
            if (body.path("stream_options").path("include_usage").asBoolean(false)) {
                output.write(StandInResponses.usageEvent(mModelName, job, body));
            }
            output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            cancelJob(job);
            throw e;
        }
    }

    /**
     * Cancels a request whose stream failed. While {@code cutAfterTokens} is set, requests continue
     * instead, so that their streams can be resumed.
     */
    private synchronized void cancelJob(EngineJob job) {
        if (mFaults.cutAfterTokens() == 0) {
            mModel.cancel(job);
            mCancelledRequests++;
        }
    }

    /**
     * Waits until at least the given number of tokens is generated or the request ends. Returns the
     * number of generated tokens, or -1 if the request was aborted.
     */
    private synchronized int awaitTokens(EngineJob job, int tokens) throws IOException {
        try {
            while (!job.isAborted() && !job.isDone() && job.generatedTokens() < tokens) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("engine is shutting down", e);
        }
        return job.isAborted() ? -1 : job.isDone() ? job.outputTokens() : job.generatedTokens();
    }

    private void handleOrder(HttpExchange exchange) throws IOException {
        RoleOrder order = Json.read(exchange.readBody(MAXIMUM_BODY_BYTES), RoleOrder.class);
        synchronized (this) {
            if (mChecksTerms && order.term() < mHighestTerm) {
                mRefusedOrders.add(order);
                throw new ProblemException(
                        Problem.notRun(409, "old-term", "Term " + order.term() + " is over."));
            }
            mHighestTerm = Math.max(mHighestTerm, order.term());
            mAbortedRequests += mModel.requests();
            mModel.changeRole(order.role());
            mAppliedOrder = order.identifier();
            mOrders.add(order);
            notifyAll();
        }
        exchange.respondJson(200, Json.write(true));
    }

    private void rejectDuringRoleChange() {
        if (mModel.isChanging()) {
            throw new ProblemException(
                    Problem.notRun(503, "role-change", "The engine changes its role."));
        }
    }

    private synchronized EngineFaults faults() {
        return mFaults;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** A load report and the monotonic time at which it was made. */
    private record TimedLoadReport(long atMillis, LoadReport report) {}
}
