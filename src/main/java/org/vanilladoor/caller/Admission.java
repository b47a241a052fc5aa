package org.vanilladoor.caller;

import java.util.Optional;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.Model;
import org.vanilladoor.configuration.Service;
import org.vanilladoor.configuration.Team;
import org.vanilladoor.configuration.WorkClass;
import org.vanilladoor.http.HttpExchange;
import org.vanilladoor.http.Problem;
import org.vanilladoor.http.ProblemException;
import org.vanilladoor.key.KeyRecord;

/**
 * Authenticates callers and determines the model, service and class of work of a request.
 *
 * <p>Every refusal made here precedes sending anything to an endpoint. Immutable and safe for use
 * by any thread.
 */
final class Admission {
    private static final String BEARER = "Bearer ";
    private final Configuration mConfiguration;
    private final boolean mReceivesKeyWithdrawals;

    private Admission(Configuration configuration, boolean receivesKeyWithdrawals) {
        mConfiguration = configuration;
        mReceivesKeyWithdrawals = receivesKeyWithdrawals;
    }

    /**
     * Returns the admission checks for one request.
     *
     * @param informed whether this process currently receives key withdrawals from the store
     */
    static Admission of(Configuration configuration, boolean receivesKeyWithdrawals) {
        return new Admission(configuration, receivesKeyWithdrawals);
    }

    Caller authenticate(HttpExchange exchange) {
        String header =
                exchange.header("Authorization").orElseThrow(Admission::unauthorizedProblem);
        if (!header.startsWith(BEARER)) {
            throw unauthorizedProblem();
        }
        KeyRecord key =
                mConfiguration
                        .keys()
                        .authenticate(header.substring(BEARER.length()).trim())
                        .orElseThrow(Admission::unauthorizedProblem);
        Team team =
                mConfiguration
                        .targets()
                        .team(key.team())
                        .orElseThrow(Admission::unauthorizedProblem);
        if (!mReceivesKeyWithdrawals && !team.servedWithoutStore()) {
            String detail = "Key withdrawals may not have reached this failure domain.";
            throw refusal(503, "withdrawals-not-known", detail);
        }
        return new Caller(team.name(), key.identifier());
    }

    Caller authenticate(HttpExchange exchange, Service service) {
        boolean anonymous = exchange.header("Authorization").isEmpty();
        return service.open() && anonymous ? Caller.ANONYMOUS : authenticate(exchange);
    }

    Model requireModel(String name) {
        return mConfiguration
                .targets()
                .model(name)
                .orElseThrow(() -> refusal(404, "unknown-model", "No such model: " + name));
    }

    Service requireService(String name) {
        return mConfiguration
                .targets()
                .service(name)
                .orElseThrow(() -> refusal(404, "unknown-service", "No such service: " + name));
    }

    WorkClass classForModel(Model model, Caller caller, Optional<String> requestedClass) {
        String name = requestedClass.orElse(model.classes().get(0));
        if (!model.classes().contains(name)) {
            throw refusal(
                    400, "unknown-class", "The model does not serve the class of work: " + name);
        }
        return requireAllowedClass(name, caller);
    }

    WorkClass classForService(Service service, Caller caller, String method) {
        boolean lookup = method.equals("GET") || method.equals("HEAD");
        return requireAllowedClass(lookup ? service.lookupClass() : service.workClass(), caller);
    }

    private WorkClass requireAllowedClass(String name, Caller caller) {
        WorkClass workClass =
                mConfiguration
                        .targets()
                        .workClass(name)
                        .orElseThrow(
                                () ->
                                        refusal(
                                                400,
                                                "unknown-class",
                                                "No such class of work: " + name));
        Optional<Team> team = mConfiguration.targets().team(caller.team());
        if (team.isPresent() && !team.get().classes().contains(name)) {
            throw refusal(
                    403, "class-not-allowed", "The team may not use the class of work: " + name);
        }
        return workClass;
    }

    private static ProblemException unauthorizedProblem() {
        return refusal(401, "wrong-key", "The request carries no valid key.");
    }

    private static ProblemException refusal(int status, String type, String detail) {
        return new ProblemException(Problem.notRun(status, type, detail));
    }
}
