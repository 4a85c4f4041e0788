package thistlefall.edge.host;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import thistlefall.Ports.RequestClass;
import thistlefall.clock.SharedTimeline;
import thistlefall.ledger.Cause;

/** Where clients' requests come in: their connections, their route, how long they wait, and whether there is room. */
final class Intake {
    /** The module and the desk are told a deadline so much before the client's, so that the answer is written in time. */
    static final long GUARD = 30_000_000L;

    private final int maxConnections;
    private final NodeClock clock;
    private final NodeCounts counts;
    private final Answers answers;
    private final Set<ClientConnection> clients = new HashSet<>();
    /** Those without a request, the one that has been so longest first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private Gate gate;
    private Carrier carrier;
    private boolean draining;

    Intake(int maxConnections, NodeClock clock, NodeCounts counts, Answers answers) {
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.counts = counts;
        this.answers = answers;
    }

    /** Where requests go on to. */
    void join(Gate through, Carrier carry) {
        gate = through;
        carrier = carry;
    }

    boolean opened(ClientConnection client) {
        if (clients.size() >= maxConnections && !idle.isEmpty()) {
            // Whoever has asked nothing for longest makes room for somebody who may.
            counts.idleClosed++;
            ClientConnection eldest = idle.iterator().next();
            // At once: its own word that it has closed comes later, and the place is wanted now.
            closed(eldest);
            eldest.close();
        }
        if (draining || clients.size() >= maxConnections) {
            counts.connectionsTurnedAway++;
            return false;
        }
        clients.add(client);
        return true;
    }

    /** A connection has no request now, or has one again. */
    void idle(ClientConnection client, boolean is) {
        idle.remove(client);
        if (is) {
            idle.add(client);
        }
    }

    void closed(ClientConnection client) {
        clients.remove(client);
        idle.remove(client);
    }

    /** A request is at the head of its connection's line. */
    void begin(Exchange exchange) {
        counts.requests++;
        exchange.begun = true;
        gate.begin(exchange);
    }

    /** Takes a request in, from here on an answer is owed; false if it has been refused for want of room. */
    boolean accept(Exchange exchange, RequestClass spec, long patience) {
        if (draining || !answers.hasRoom()) {
            Cause cause = draining ? Cause.STOPPING : Cause.FULL;
            counts.refused(cause);
            exchange.client.answer(exchange, Problem.refused(cause, 0));
            return false;
        }
        answers.accept(exchange, spec, exchange.arrived + patience);
        return true;
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
        gate.leave(exchange);
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
