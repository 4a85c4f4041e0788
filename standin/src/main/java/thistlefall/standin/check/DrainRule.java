package thistlefall.standin.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.standin.trace.Trace;

/**
 * Rule 3: a node sends nothing new to a server later than the grace period after the node was notified that the server
 * drains or is gone.
 */
final class DrainRule extends RuleChecker {
    DrainRule(RuleParameters parameters) {
        super(3, parameters);
    }

    @Override
    void checkEvents(List<Trace.TraceEvent> events) {
        // For each pair of node and server, the time at which the node was notified; absent while the server is ready.
        Map<String, Long> notifiedAtByPair = new HashMap<>();
        for (Trace.TraceEvent event : events) {
            String nodeAndServer = event.node() + " " + event.server();
            if (event.who().equals("list") && event.event().equals("told")) {
                if ("ready".equals(event.outcome())) {
                    notifiedAtByPair.remove(nodeAndServer);
                } else {
                    notifiedAtByPair.putIfAbsent(nodeAndServer, event.t());
                }
            } else if (event.who().equals("player") && event.event().equals("node-down")) {
                notifiedAtByPair.keySet().removeIf(key -> key.startsWith(event.node() + " "));
            } else if (event.who().equals("server") && event.event().equals("got")) {
                countCheckedCase();
                Long notifiedAt = notifiedAtByPair.get(nodeAndServer);
                if (notifiedAt != null && event.t() > notifiedAt + parameters.drainGrace() + parameters.allowance()) {
                    recordViolation(
                            event,
                            event.node() + " sent " + event.id() + " to " + event.server() + " "
                                    + (event.t() - notifiedAt) / 1_000_000
                                    + " ms after it was notified that the server drains or is gone");
                }
            }
        }
    }
}
