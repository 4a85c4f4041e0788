package thistlefall.standin.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistlefall.standin.trace.Trace;

/**
 * Rule 4: the nodes together never overload a cold server. The work that arrives within the window is compared with a
 * multiple of the server's capacity; the rule is broken if it is more and over two thirds of it came from nodes that
 * had been notified of the server's start.
 */
final class ColdStartRule extends RuleChecker {
    /** A started server with the attempts of the last window. Work is in seconds of a warm core. */
    private static final class ColdServer {
        private final long startedAt;
        private final ArrayDeque<Trace.TraceEvent> window = new ArrayDeque<>();
        private final Set<String> informedNodes = new HashSet<>();
        private double work;
        private double workFromInformed;
        private boolean violated;

        private ColdServer(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** The latest start of each server, by server id. */
    private final Map<String, ColdServer> coldServers = new HashMap<>();

    ColdStartRule(RuleParameters parameters) {
        super(4, parameters);
    }

    @Override
    void checkEvents(List<Trace.TraceEvent> events) {
        for (Trace.TraceEvent event : events) {
            if (event.who().equals("server") && event.event().equals("started")) {
                coldServers.put(event.server(), new ColdServer(event.t()));
            } else if (event.who().equals("list")
                    && event.event().equals("told")
                    && coldServers.containsKey(event.server())) {
                coldServers.get(event.server()).informedNodes.add(event.node());
            } else if (event.who().equals("server") && event.event().equals("got")) {
                checkAttempt(event);
            }
        }
    }

    private void checkAttempt(Trace.TraceEvent event) {
        ColdServer server = coldServers.get(event.server());
        if (server == null || event.t() - server.startedAt > parameters.coldSpan() || server.violated) {
            return;
        }
        countCheckedCase();
        server.window.add(event);
        server.work += event.work();
        server.workFromInformed += server.informedNodes.contains(event.node()) ? event.work() : 0;
        while (server.window.peek().t() < event.t() - parameters.fallSpan()) {
            Trace.TraceEvent expired = server.window.poll();
            server.work -= expired.work();
            server.workFromInformed -= server.informedNodes.contains(expired.node()) ? expired.work() : 0;
        }
        double seconds = parameters.fallSpan() / 1e9;
        // A quarter of a second of work is tolerated as random variation.
        double budget = parameters.fallMultiple() * event.capacity() * seconds + event.capacity() / 4;
        if (server.work > budget && server.workFromInformed > server.work * 2 / 3) {
            server.violated = true;
            recordViolation(
                    event,
                    String.format(
                            java.util.Locale.ROOT,
                            "%s, cold for %d ms, was sent %.2f s of work in %.1f s and " + "can do %.2f s per second",
                            event.server(),
                            (event.t() - server.startedAt) / 1_000_000,
                            server.work,
                            seconds,
                            event.capacity()));
        }
    }
}
