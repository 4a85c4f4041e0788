package thistlefall.standin.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.standin.trace.Trace;

/**
 * Rule 1: every request that a running node accepted gets exactly one final response before its client's timeout. A
 * node does not run from the moment it is killed or stalled until it is back; requests it held in that time are
 * excused.
 */
final class SingleResponseRule extends RuleChecker {
    /** Interval in which a node was not running, nanoseconds of the trace. */
    private record Downtime(long from, long to) {}

    SingleResponseRule(RuleParameters parameters) {
        super(1, parameters);
    }

    @Override
    void checkEvents(List<Trace.TraceEvent> events) {
        Map<String, List<Downtime>> downtimes = downtimes(events);
        Map<String, Trace.TraceEvent> pendingRequests = new HashMap<>();
        for (Trace.TraceEvent event : events) {
            if (!event.who().equals("client")) {
                continue;
            }
            if (event.event().equals("ask")) {
                pendingRequests.put(event.id(), event);
                countCheckedCase();
            } else if (event.event().equals("answer")) {
                Trace.TraceEvent request = pendingRequests.remove(event.id());
                if (request == null) {
                    recordViolation(event, event.id() + " was answered twice");
                } else {
                    checkResponse(request, event, downtimes);
                }
            }
        }
        pendingRequests.values().forEach(request -> recordViolation(request, request.id() + " was never answered"));
    }

    private void checkResponse(
            Trace.TraceEvent request, Trace.TraceEvent response, Map<String, List<Downtime>> downtimes) {
        long latestResponse = request.t() + request.within() + parameters.allowance();
        boolean late = response.t() > latestResponse;
        boolean withoutResponse =
                response.outcome().equals("lost") || response.outcome().equals("gave-up");
        boolean excused = downtimes.getOrDefault(request.node(), List.of()).stream()
                .anyMatch(downtime -> downtime.from <= response.t() && downtime.to >= request.t());
        if (response.outcome().equals("unreached")) {
            return;
        }
        if ((late || withoutResponse) && !excused) {
            recordViolation(
                    response,
                    request.id() + " at " + request.node() + ": " + response.outcome() + " after "
                            + (response.t() - request.t()) / 1_000_000 + " ms, its client waits "
                            + request.within() / 1_000_000
                            + " ms");
        }
    }

    private Map<String, List<Downtime>> downtimes(List<Trace.TraceEvent> events) {
        Map<String, Long> downSince = new HashMap<>();
        Map<String, List<Downtime>> downtimes = new HashMap<>();
        for (Trace.TraceEvent event : events) {
            if (event.who().equals("player") && event.event().equals("node-down")) {
                downSince.put(event.node(), event.t());
            } else if (event.who().equals("player") && event.event().equals("node-up")) {
                Long from = downSince.remove(event.node());
                if (from != null) {
                    downtimes
                            .computeIfAbsent(event.node(), n -> new ArrayList<>())
                            .add(new Downtime(from, event.t() + parameters.allowance()));
                }
            }
        }
        downSince.forEach((node, from) ->
                downtimes.computeIfAbsent(node, n -> new ArrayList<>()).add(new Downtime(from, Long.MAX_VALUE)));
        return downtimes;
    }
}
