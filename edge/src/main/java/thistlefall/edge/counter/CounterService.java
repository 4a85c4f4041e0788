package thistlefall.edge.counter;

import thistlefall.Ports.Outcome;

/** The shared counter. All methods are called on the event loop. */
public interface CounterService {
    /** Receives the outcome of a call, on the event loop. */
    interface CounterCallback {
        /** The call has ended; the total is valid only with OK. */
        void callEnded(Outcome outcome, double total);
    }

    /**
     * Adds to a count that expires {@code lifetime} nanoseconds after its first call. The callback is called exactly
     * once, after this method has returned.
     */
    void add(long name, double amount, long lifetime, CounterCallback callback);

    /** Ends all calls. */
    void close();
}
