package org.vanilladoor.entry;

import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.InvalidInputException;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.ConfigurationStore;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.TargetsFile;
import org.vanilladoor.dispatch.Decision;
import org.vanilladoor.dispatch.DispatchCore;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.HttpHandler;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;
import org.vanilladoor.key.IssuedKey;
import org.vanilladoor.key.KeyRecord;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.VersionConflictException;

/**
 * Handles the requests of operators.
 *
 * <p>Health, readiness and metrics need no credential; every other path needs the system
 * credential. Safe for use by any thread.
 */
final class OperatorHandler implements HttpHandler {
    private static final int MAXIMUM_BODY_BYTES = 4 * 1_024 * 1_024;
    private static final long ANY_VERSION = -1;
    private static final int DEFAULT_LEVEL_MINUTES = 60;
    private final Entry mEntry;
    private final ConfigurationStore mConfigurationStore;

    private OperatorHandler(Entry entry) {
        mEntry = entry;
        mConfigurationStore = ConfigurationStore.create(entry.platform());
    }

    static OperatorHandler create(Entry entry) {
        return new OperatorHandler(entry);
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/healthz" -> exchange.respondJson(200, Json.write("healthy"));
            case "/readyz" ->
                    exchange.respondJson(
                            mEntry.isReady() ? 200 : 503, Json.write(mEntry.isReady()));
            case "/metrics" -> exchange.respondJson(200, Json.write(metrics()));
            default -> {
                authenticate(exchange);
                handleAuthenticated(exchange);
            }
        }
    }

    private void handleAuthenticated(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/status" -> exchange.respondJson(200, Json.write(status()));
            case "/explain" -> replyExplanation(exchange);
            case "/levels" -> replyLevels(exchange);
            case "/configuration" -> handleConfiguration(exchange);
            case "/keys" -> handleKeys(exchange);
            default ->
                    throw new ProblemException(
                            Problem.notRun(404, "unknown-path", exchange.path()));
        }
    }

    private void authenticate(HttpExchange exchange) {
        String expected = "Bearer " + mEntry.settings().systemCredential();
        String presented = exchange.header("Authorization").orElse("");
        if (!Digests.constantTimeEquals(expected, presented)) {
            throw new ProblemException(
                    Problem.notRun(
                            401, "wrong-credential", "The system credential is missing or wrong."));
        }
    }

    private EntryStatus status() {
        long now = MonotonicClock.nowMillis();
        return new EntryStatus(
                mEntry.settings().name(),
                mEntry.settings().failureDomain(),
                mEntry.isReady(),
                mEntry.receivesKeyWithdrawals(),
                mEntry.configuration().version(),
                mEntry.openCalls(),
                mEntry.members(),
                mEntry.dispatcher().query(DispatchCore::endpoints).join(),
                mEntry.leaseHolderTasks().scopes().stream()
                        .map(
                                scope ->
                                        new EntryStatus.Lease(
                                                scope.name(),
                                                scope.lease().holder(),
                                                scope.lease().term(),
                                                scope.lease().isHeld(now),
                                                scope.orders().journal().open().size()))
                        .toList());
    }

    private void replyExplanation(HttpExchange exchange) {
        String identifier = exchange.queryParameter("request").orElse("");
        Decision decision =
                mEntry.dispatcher()
                        .explain(identifier)
                        .join()
                        .orElseThrow(
                                () ->
                                        new ProblemException(
                                                Problem.notRun(
                                                        404,
                                                        "unknown-request",
                                                        "No decision is retained for this request: "
                                                                + identifier)));
        exchange.respondJson(200, Json.write(Explanation.of(decision)));
    }

    private void replyLevels(HttpExchange exchange) {
        int minutes =
                exchange.queryParameter("minutes")
                        .map(Integer::parseInt)
                        .orElse(DEFAULT_LEVEL_MINUTES);
        exchange.respondJson(200, Json.write(mEntry.levels(minutes)));
    }

    private void handleConfiguration(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            exchange.respondJson(200, Json.write(mEntry.configuration().head()));
            return;
        }
        String text = new String(exchange.readBody(MAXIMUM_BODY_BYTES), StandardCharsets.UTF_8);
        String file = exchange.queryParameter("file").orElse("targets");
        long expectedVersion =
                exchange.queryParameter("expected").map(Long::parseLong).orElse(ANY_VERSION);
        try {
            Targets targets = TargetsFile.parse(file, text);
            String nonce = Identifiers.random();
            acceptChange(exchange, expectedVersion, base -> base.withTargets(targets, nonce));
        } catch (InvalidInputException e) {
            exchange.respondJson(422, Json.write(e.findings()));
        }
    }

    private void handleKeys(HttpExchange exchange) {
        Configuration current = mEntry.configuration();
        switch (exchange.method()) {
            case "GET" ->
                    exchange.respondJson(
                            200,
                            Json.write(
                                    current.keys().records().stream().map(KeyView::of).toList()));
            case "POST" -> {
                String team = exchange.queryParameter("team").orElse("");
                if (current.targets().team(team).isEmpty()) {
                    throw new ProblemException(
                            Problem.notRun(404, "unknown-team", "No such team: " + team));
                }
                IssuedKey issued = IssuedKey.create(team, Identifiers.secureRandom());
                String nonce = Identifiers.random();
                if (acceptChange(
                        exchange, ANY_VERSION, base -> base.withKey(issued.record(), nonce))) {
                    exchange.respondJson(200, Json.write(issued.key()));
                }
            }
            case "DELETE" ->
                    withdrawKey(exchange, exchange.queryParameter("identifier").orElse(""));
            default ->
                    throw new ProblemException(
                            Problem.notRun(405, "method-not-allowed", exchange.method()));
        }
    }

    private void withdrawKey(HttpExchange exchange, String identifier) {
        String nonce = Identifiers.random();
        acceptChange(
                exchange,
                ANY_VERSION,
                base ->
                        base.withKey(
                                base.keys().records().stream()
                                        .filter(each -> each.identifier().equals(identifier))
                                        .findFirst()
                                        .orElseThrow(
                                                () ->
                                                        new ProblemException(
                                                                Problem.notRun(
                                                                        404,
                                                                        "unknown-key",
                                                                        "No such key: "
                                                                                + identifier)))
                                        .asWithdrawn(),
                                nonce));
    }

    /**
     * Stores a change of the configuration.
     *
     * <p>Replies with the new head or with the failure. After a success the caller may replace the
     * reply.
     *
     * @param expectedVersion version that the change is based on, or {@link #ANY_VERSION}
     * @return whether the change was accepted
     */
    private boolean acceptChange(
            HttpExchange exchange, long expectedVersion, UnaryOperator<Configuration> change) {
        CompletableFuture<Configuration> accepted =
                mConfigurationStore.applyChange(mEntry.configuration(), expectedVersion, change);
        try {
            Configuration configuration = accepted.join();
            mEntry.activeConfiguration().replaceIfNewer(configuration);
            exchange.respondJson(200, Json.write(configuration.head()));
            return true;
        } catch (CompletionException e) {
            replyFailure(exchange, e.getCause());
            return false;
        }
    }

    private static void replyFailure(HttpExchange exchange, Throwable failure) {
        if (failure instanceof ProblemException problem) {
            exchange.respond(problem.problem());
        } else if (failure instanceof VersionConflictException) {
            exchange.respond(
                    Problem.notRun(
                            409,
                            "changed-meanwhile",
                            "The configuration was changed concurrently."));
        } else if (failure instanceof StoreUnavailableException) {
            exchange.respond(
                    Problem.mayHaveRun(503, "platform-unavailable", failure.getMessage(), false));
        } else {
            exchange.respond(Problem.mayHaveRun(500, "internal", failure.toString(), false));
        }
    }

    private ObjectNode metrics() {
        ObjectNode metrics = Json.newObject();
        mEntry.metrics().getCounters().forEach((name, each) -> metrics.put(name, each.getCount()));
        mEntry.metrics().getMeters().forEach((name, each) -> metrics.put(name, each.getCount()));
        mEntry.metrics()
                .getHistograms()
                .forEach(
                        (name, each) -> {
                            Snapshot snapshot = each.getSnapshot();
                            metrics.put(name + ".p50", snapshot.getMedian());
                            metrics.put(name + ".p99", snapshot.get99thPercentile());
                        });
        metrics.put("open_calls", mEntry.openCalls());
        return metrics;
    }

    /** The parts of a key record that operators see. */
    private record KeyView(String identifier, String team, boolean withdrawn) {
        static KeyView of(KeyRecord record) {
            return new KeyView(record.identifier(), record.team(), record.withdrawn());
        }
    }

    /** A dispatch decision as shown to operators. */
    private record Explanation(
            String request, String team, String workClass, String decision, String reason) {
        static Explanation of(Decision decision) {
            String outcome =
                    decision instanceof Decision.Assigned assigned
                            ? "prefill at "
                                    + assigned.prefillEndpoint()
                                    + ", response from "
                                    + assigned.endpoint()
                            : "refused, not run: " + ((Decision.Refused) decision).kind().type();
            return new Explanation(
                    decision.call().identifier(),
                    decision.call().team(),
                    decision.call().workClass().name(),
                    outcome,
                    decision.reason());
        }
    }
}
