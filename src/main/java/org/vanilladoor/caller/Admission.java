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
 * Tells who a caller is and what class of work a request belongs to.
 *
 * <p>Every refusal here is made before anything is handed over. Immutable and safe for use by any
 * thread.
 */
final class Admission {
    private static final String BEARER = "Bearer ";
    private final Configuration mConfiguration;
    private final boolean mInformed;

    private Admission(Configuration configuration, boolean informed) {
        mConfiguration = configuration;
        mInformed = informed;
    }

    /**
     * Returns the admission of one request.
     *
     * @param informed whether this process hears of withdrawn keys
     */
    static Admission of(Configuration configuration, boolean informed) {
        return new Admission(configuration, informed);
    }

    Caller authenticate(HttpExchange exchange) {
        String header = exchange.header("Authorization").orElseThrow(Admission::unauthorized);
        if (!header.startsWith(BEARER)) {
            throw unauthorized();
        }
        KeyRecord key =
                mConfiguration
                        .keys()
                        .authenticate(header.substring(BEARER.length()).trim())
                        .orElseThrow(Admission::unauthorized);
        Team team = mConfiguration.targets().team(key.team()).orElseThrow(Admission::unauthorized);
        if (!mInformed && !team.servedWithoutStore()) {
            String detail = "This failure domain may be missing withdrawn keys.";
            throw refused(503, "withdrawals-not-known", detail);
        }
        return new Caller(team.name(), key.identifier());
    }

    Caller authenticate(HttpExchange exchange, Service service) {
        boolean anonymous = exchange.header("Authorization").isEmpty();
        return service.open() && anonymous ? Caller.ANYBODY : authenticate(exchange);
    }

    Model model(String name) {
        return mConfiguration
                .targets()
                .model(name)
                .orElseThrow(() -> refused(404, "unknown-model", "No such model: " + name));
    }

    Service service(String name) {
        return mConfiguration
                .targets()
                .service(name)
                .orElseThrow(() -> refused(404, "unknown-service", "No such service: " + name));
    }

    WorkClass classOfModel(Model model, Caller caller, Optional<String> asked) {
        String name = asked.orElse(model.classes().get(0));
        if (!model.classes().contains(name)) {
            throw refused(400, "unknown-class", "The model serves no such class: " + name);
        }
        return allowed(name, caller);
    }

    WorkClass classOfService(Service service, Caller caller, String method) {
        boolean lookup = method.equals("GET") || method.equals("HEAD");
        return allowed(lookup ? service.lookupClass() : service.workClass(), caller);
    }

    private WorkClass allowed(String name, Caller caller) {
        WorkClass workClass =
                mConfiguration
                        .targets()
                        .workClass(name)
                        .orElseThrow(() -> refused(400, "unknown-class", "No such class: " + name));
        Optional<Team> team = mConfiguration.targets().team(caller.team());
        if (team.isPresent() && !team.get().classes().contains(name)) {
            throw refused(403, "class-not-allowed", "The team may not use the class: " + name);
        }
        return workClass;
    }

    private static ProblemException unauthorized() {
        return refused(401, "wrong-key", "The request carries no key that works.");
    }

    private static ProblemException refused(int status, String type, String detail) {
        return new ProblemException(Problem.notRun(status, type, detail));
    }
}
