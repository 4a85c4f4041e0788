package thistlefall.edge.node;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import thistlefall.Gateway;
import thistlefall.Ports;

/**
 * Calls the decision module with one event at a time. Events that are raised by the module's own actions are deferred
 * until the current call has returned. An exception in the module affects only the request that the event was about;
 * the node keeps running. Confined to the node's event loop.
 */
final class ModuleHost {
    /** Notified when the module has thrown an exception. */
    interface ModuleExceptionListener {
        /** The module's state for this request is no longer reliable; null if the event was about no request. */
        void exceptionThrown(RequestContext requestContext);
    }

    private record Event(RequestContext requestContext, Consumer<Ports.Events> call) {}

    private final Logger log;
    private final ModuleExceptionListener exceptionListener;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private Ports.Events module;
    private boolean dispatching;
    private long eventCount;
    private long exceptionCount;

    ModuleHost(Logger log, ModuleExceptionListener exceptionListener) {
        this.log = log;
        this.exceptionListener = exceptionListener;
    }

    /** Creates the module, whose constructor may already request actions. */
    void start(Ports.Settings settings, long seed, long now, Ports.Actions actions, NodeInterceptor interceptor) {
        dispatching = true;
        try {
            module = interceptor.wrapEvents(new Gateway(settings, seed, now, actions));
        } finally {
            dispatching = false;
        }
        dispatchPending();
    }

    /** Replaces the module; for tests. */
    void replaceModule(Ports.Events replacement) {
        module = replacement;
    }

    long eventCount() {
        return eventCount;
    }

    long exceptionCount() {
        return exceptionCount;
    }

    /** Passes an event to the module after all pending events. */
    void dispatch(RequestContext requestContext, Consumer<Ports.Events> call) {
        pendingEvents.add(new Event(requestContext, call));
        if (!dispatching && module != null) {
            dispatchPending();
        }
    }

    private void dispatchPending() {
        dispatching = true;
        try {
            for (Event event = pendingEvents.poll(); event != null; event = pendingEvents.poll()) {
                eventCount++;
                try {
                    event.call.accept(module);
                } catch (RuntimeException e) {
                    exceptionCount++;
                    log.atError()
                            .addKeyValue(
                                    "request",
                                    event.requestContext == null || event.requestContext.trackedRequest == null
                                            ? null
                                            : event.requestContext.trackedRequest.id())
                            .setCause(e)
                            .log("the decision module threw");
                    exceptionListener.exceptionThrown(event.requestContext);
                }
            }
        } finally {
            dispatching = false;
        }
    }
}
