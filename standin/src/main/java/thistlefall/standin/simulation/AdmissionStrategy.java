package thistlefall.standin.simulation;

import thistlefall.Ports.Request;

/** Decides on the requests of one simulated node: the decision module, or a simple baseline to compare it with. */
interface AdmissionStrategy {
    /** Receives the decisions. */
    interface AdmissionListener {
        /** The request is forwarded to a server; {@link AdmissionStrategy#completed} follows. */
        void sent(String id);

        /** The request is refused. */
        void refused(String id, String reason);
    }

    /** Ends the node as a killed process ends; its pending work produces no further calls to the listener. */
    void kill();

    /** Decides on an incoming request. */
    void request(Request request);

    /** Reports that a server has responded, with the true units and the duration in nanoseconds. */
    void completed(String id, double trueUnits, long duration);
}
