package thistlefall.edge.http;

/** Bounds how much of the input of a connection is decoded at once. Called on the event loop of the connection. */
public interface DecodeTurn {
    /** Sets no bound. */
    DecodeTurn UNBOUNDED = new DecodeTurn() {
        @Override
        public boolean mayTakeStep() {
            return true;
        }

        @Override
        public void messageDecoded() {
            // Nothing depends on it.
        }
    };

    /** Returns whether another part of a message may be decoded now. */
    boolean mayTakeStep();

    /** Called for each message that has been decoded to its end. */
    void messageDecoded();
}
