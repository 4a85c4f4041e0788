package thistlefall.standin.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistlefall.Ports.Group;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.RequestClass;
import thistlefall.standin.trace.Trace;

/**
 * Rule 2: no effect happens twice. An unsafe operation runs at most once over all tries of its client and all attempts
 * of the gateway; a keyed operation runs once for each try. Neither is refused to the client after it has run, except
 * a keyed one whose key is known to every server, so that any of them recognizes a repeat.
 */
final class AtMostOnceRule extends RuleChecker {
    private final Map<String, Integer> runsByTry = new HashMap<>();
    private final Map<String, Integer> runsByOperation = new HashMap<>();
    private final Set<String> seenAttempts = new HashSet<>();

    AtMostOnceRule(RuleParameters parameters) {
        super(2, parameters);
    }

    @Override
    void checkEvents(List<Trace.TraceEvent> events) {
        for (Trace.TraceEvent event : events) {
            RequestClass requestClass =
                    event.cls() == null ? null : parameters.classes().get(event.cls());
            if (requestClass == null || event.id() == null || event.id().isEmpty()) {
                continue;
            }
            if (event.who().equals("server") && event.event().equals("got")) {
                countCheckedCase();
                if (!seenAttempts.add(event.id() + "#" + event.attempt())) {
                    recordViolation(event, "attempt " + event.attempt() + " of " + event.id() + " arrived twice");
                }
            } else if (event.who().equals("server") && event.event().equals("ran")) {
                checkRun(event, requestClass);
            } else if (event.event().equals("answer") && "refused".equals(event.outcome())) {
                boolean repeatableAnywhere = requestClass.repeat() == Repeat.SAFE
                        || requestClass.repeat() == Repeat.KEYED && requestClass.group() == Group.ALL;
                if (!repeatableAnywhere && runsByTry.containsKey(event.id())) {
                    recordViolation(event, event.id() + " (" + event.cls() + ") was refused after it had run");
                }
            }
        }
    }

    private void checkRun(Trace.TraceEvent event, RequestClass requestClass) {
        int runsOfTry = runsByTry.merge(event.id(), 1, Integer::sum);
        int runsOfOperation = runsByOperation.merge(
                event.op() == null || event.op().isEmpty() ? event.id() : event.op(), 1, Integer::sum);
        if (requestClass.repeat() == Repeat.UNSAFE && runsOfOperation > 1) {
            recordViolation(
                    event,
                    event.id() + " (" + event.cls() + ") ran " + runsOfOperation + " times, now at " + event.server()
                            + " through " + event.node());
        } else if (requestClass.repeat() == Repeat.KEYED && runsOfTry > 1) {
            recordViolation(
                    event,
                    event.id() + " (" + event.cls() + ") ran " + runsOfTry + " times despite its idempotency key");
        }
    }
}
