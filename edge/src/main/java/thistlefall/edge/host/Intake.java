package thistlefall.edge.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thistlefall.Ports;
import thistlefall.Ports.RequestClass;
import thistlefall.clock.SharedTimeline;
import thistlefall.ledger.Cause;

/** Where clients' requests come in: their connections, their route, how long they wait, and whether there is room. */
final class Intake {
    /** The module and the desk are told a deadline so much before the client's, so that the answer is written in time. */
    static final long GUARD = 30_000_000L;
    private static final String TIMEOUT_FIELD = "request-timeout";

    private final Routes routes;
    private final Ports.Settings module;
    private final int maxConnections;
    private final NodeClock clock;
    private final NodeCounts counts;
    private final Answers answers;
    private final Set<ClientConnection> clients = new HashSet<>();
    private TokenCheck tokens;
    private Carrier carrier;
    private boolean draining;

    Intake(Routes routes, Ports.Settings module, int maxConnections, NodeClock clock, NodeCounts counts, Answers answers) {
        this.routes = routes;
        this.module = module;
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.counts = counts;
        this.answers = answers;
    }

    /** Where requests go on to. */
    void join(TokenCheck check, Carrier carry) {
        tokens = check;
        carrier = carry;
    }

    boolean opened(ClientConnection client) {
        if (draining || clients.size() >= maxConnections) {
            counts.connectionsTurnedAway++;
            return false;
        }
        clients.add(client);
        return true;
    }

    void closed(ClientConnection client) {
        clients.remove(client);
    }

    /** A request is at the head of its connection's line. */
    void begin(Exchange exchange) {
        Routes.Route route = routes.find(exchange.head.method(), exchange.head.path());
        counts.requests++;
        if (route == null) {
            exchange.client.answer(exchange, Problem.client(404, "no such path here"));
            return;
        }
        exchange.route = route;
        String token = TokenCheck.bearer(exchange.head.fields());
        if (token == null) {
            exchange.client.answer(exchange, Problem.unauthorized("a bearer token is needed", false));
            return;
        }
        if (draining || !answers.hasRoom()) {
            Cause cause = draining ? Cause.STOPPING : Cause.FULL;
            counts.refused(cause);
            exchange.client.answer(exchange, Problem.refused(cause, 0));
            return;
        }
        RequestClass spec = module.classes().get(route.requestClass());
        answers.accept(exchange, spec, exchange.arrived + patience(exchange, spec));
        tokens.check(exchange, token, sharedDeadline(exchange));
    }

    /** How long the client waits: as it says, but no longer than its class allows. */
    private static long patience(Exchange exchange, RequestClass spec) {
        String told = exchange.head.fields().get(TIMEOUT_FIELD);
        Double ms = told == null ? null : LoadReport.number(told);
        return ms == null ? spec.deadline() : Math.min(spec.deadline(), (long) (ms * 1e6));
    }

    /** The deadline in shared time, as told to the module and the desk: never later than the client's. */
    long sharedDeadline(Exchange exchange) {
        long left = exchange.entry.deadline() - System.nanoTime() - GUARD;
        return clock.now() + SharedTimeline.atLeast(left);
    }

    /** The body of a request broke off; the client gets this answer, if any is still owed. */
    void bodyBroken(Exchange exchange, Problem problem) {
        if (exchange.entry == null) {
            exchange.client.answer(exchange, problem);
            return;
        }
        Attempt attempt = exchange.attempt;
        answers.gone(exchange);
        leave(exchange);
        exchange.client.answer(exchange, problem);
        if (attempt != null) {
            attempt.clientGone();
        }
        answers.forgetIfOver(exchange);
    }

    /** The client has left. */
    void gone(Exchange exchange) {
        exchange.body.detach();
        if (exchange.entry == null) {
            exchange.body.release();
            return;
        }
        if (exchange.entry.open()) {
            counts.clientsGone++;
            answers.gone(exchange);
            leave(exchange);
        }
        if (exchange.attempt != null) {
            exchange.attempt.clientGone();
        }
        exchange.body.release();
        answers.forgetIfOver(exchange);
    }

    private void leave(Exchange exchange) {
        tokens.leave(exchange);
        carrier.gone(exchange);
    }

    /** No new request is taken from here on. */
    void drain() {
        draining = true;
        List.copyOf(clients).forEach(ClientConnection::drain);
    }

    void close() {
        draining = true;
        List.copyOf(clients).forEach(ClientConnection::close);
    }
}
