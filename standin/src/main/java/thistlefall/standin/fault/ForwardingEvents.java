package thistlefall.standin.fault;

import java.util.List;
import thistlefall.Ports;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Result;
import thistlefall.Ports.Server;

/** Passes all events on; subclasses observe or change some of them. Called on the node's event loop. */
public abstract class ForwardingEvents implements Ports.Events {
    private final Ports.Events delegate;

    /** Creates a receiver that passes events on to another one. */
    protected ForwardingEvents(Ports.Events delegate) {
        this.delegate = delegate;
    }

    @Override
    public void serverListUpdated(long now, Ports.ListKind kind, List<Server> entries) {
        delegate.serverListUpdated(now, kind, entries);
    }

    @Override
    public void request(long now, Ports.Request request) {
        delegate.request(now, request);
    }

    @Override
    public void attemptEnded(long now, Result result) {
        delegate.attemptEnded(now, result);
    }

    @Override
    public void streamStarted(long now, String id) {
        delegate.streamStarted(now, id);
    }

    @Override
    public void clientGone(long now, String id) {
        delegate.clientGone(now, id);
    }

    @Override
    public void counterCallEnded(long now, long name, Outcome outcome, double total) {
        delegate.counterCallEnded(now, name, outcome, total);
    }

    @Override
    public void probeEnded(long now, String server, Outcome outcome, long took, List<Double> report) {
        delegate.probeEnded(now, server, outcome, took, report);
    }

    @Override
    public void timerExpired(long now, long token) {
        delegate.timerExpired(now, token);
    }
}
