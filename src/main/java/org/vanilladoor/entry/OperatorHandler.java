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
 * Answers operators.
 *
 * <p>Health, readiness and metrics are open; everything else needs the system's credential. Safe
 * for use by any thread.
 */
final class OperatorHandler implements HttpHandler {
    private static final int MAXIMUM_BODY_BYTES = 4 * 1_024 * 1_024;
    private static final int DEFAULT_MINUTES = 60;
    private final Entry mEntry;
    private final ConfigurationStore mConfigurations;

    private OperatorHandler(Entry entry) {
        mEntry = entry;
        mConfigurations = ConfigurationStore.create(entry.platform());
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
                answer(exchange);
            }
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/status" -> exchange.respondJson(200, Json.write(status()));
            case "/explain" -> explain(exchange);
            case "/levels" -> levels(exchange);
            case "/configuration" -> configuration(exchange);
            case "/keys" -> keys(exchange);
            default ->
                    throw new ProblemException(
                            Problem.notRun(404, "unknown-path", exchange.path()));
        }
    }

    private void authenticate(HttpExchange exchange) {
        String expected = "Bearer " + mEntry.settings().systemCredential();
        String given = exchange.header("Authorization").orElse("");
        if (!Digests.constantTimeEquals(expected, given)) {
            throw new ProblemException(
                    Problem.notRun(401, "wrong-credential", "The credential is not the system's."));
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
                mEntry.gateway().query(DispatchCore::endpoints).join(),
                mEntry.duties().scopes().stream()
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

    private void explain(HttpExchange exchange) {
        String identifier = exchange.queryParameter("request").orElse("");
        Decision decision =
                mEntry.gateway()
                        .explain(identifier)
                        .join()
                        .orElseThrow(
                                () ->
                                        new ProblemException(
                                                Problem.notRun(
                                                        404,
                                                        "unknown-request",
                                                        "No decision is known: " + identifier)));
        exchange.respondJson(200, Json.write(Explanation.of(decision)));
    }

    private void levels(HttpExchange exchange) {
        int minutes =
                exchange.queryParameter("minutes").map(Integer::parseInt).orElse(DEFAULT_MINUTES);
        exchange.respondJson(200, Json.write(mEntry.levels(minutes)));
    }

    private void configuration(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            exchange.respondJson(200, Json.write(mEntry.configuration().head()));
            return;
        }
        String text = new String(exchange.readBody(MAXIMUM_BODY_BYTES), StandardCharsets.UTF_8);
        String file = exchange.queryParameter("file").orElse("targets");
        long expected = exchange.queryParameter("expected").map(Long::parseLong).orElse(-1L);
        try {
            Targets targets = TargetsFile.parse(file, text);
            String nonce = Identifiers.random();
            accept(exchange, expected, base -> base.withTargets(targets, nonce));
        } catch (InvalidInputException e) {
            exchange.respondJson(422, Json.write(e.findings()));
        }
    }

    private void keys(HttpExchange exchange) {
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
                if (accept(exchange, -1, base -> base.withKey(issued.record(), nonce))) {
                    exchange.respondJson(200, Json.write(issued.key()));
                }
            }
            case "DELETE" -> withdraw(exchange, exchange.queryParameter("identifier").orElse(""));
            default ->
                    throw new ProblemException(
                            Problem.notRun(405, "method-not-allowed", exchange.method()));
        }
    }

    private void withdraw(HttpExchange exchange, String identifier) {
        String nonce = Identifiers.random();
        accept(
                exchange,
                -1,
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

    /** Accepts a change and answers; returns whether the change was accepted. */
    private boolean accept(
            HttpExchange exchange, long expected, UnaryOperator<Configuration> change) {
        CompletableFuture<Configuration> accepted =
                mConfigurations.applyChange(mEntry.configuration(), expected, change);
        try {
            Configuration configuration = accepted.join();
            mEntry.configurationKeeper().replaceIfNewer(configuration);
            exchange.respondJson(200, Json.write(configuration.head()));
            return true;
        } catch (CompletionException e) {
            refuse(exchange, e.getCause());
            return false;
        }
    }

    private static void refuse(HttpExchange exchange, Throwable failure) {
        if (failure instanceof ProblemException problem) {
            exchange.respond(problem.problem());
        } else if (failure instanceof VersionConflictException) {
            exchange.respond(
                    Problem.notRun(409, "changed-meanwhile", "Another change came first."));
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

    /** What operators see of a key. */
    private record KeyView(String identifier, String team, boolean withdrawn) {
        static KeyView of(KeyRecord record) {
            return new KeyView(record.identifier(), record.team(), record.withdrawn());
        }
    }

    /** What operators see of a decision. */
    private record Explanation(
            String request, String team, String workClass, String decision, String reason) {
        static Explanation of(Decision decision) {
            String what =
                    decision instanceof Decision.Assigned assigned
                            ? "prompt at "
                                    + assigned.prefillEndpoint()
                                    + ", answer at "
                                    + assigned.endpoint()
                            : "refused, not run: " + ((Decision.Refused) decision).kind().type();
            return new Explanation(
                    decision.call().identifier(),
                    decision.call().team(),
                    decision.call().workClass().name(),
                    what,
                    decision.reason());
        }
    }
}
