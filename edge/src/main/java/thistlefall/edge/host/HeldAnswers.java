package thistlefall.edge.host;

/** How many bytes of answers may be held back until they are whole, each and all together; the rest is passed on as it comes. */
final class HeldAnswers {
    private final long each;
    private final long all;
    private long held;

    HeldAnswers(long each, long all) {
        this.each = each;
        this.all = all;
    }

    /** Takes room for more of an answer that holds some; false if there is none. */
    boolean take(long before, long more) {
        if (before + more > each || held + more > all) {
            return false;
        }
        held += more;
        return true;
    }

    /** Gives room back. */
    void give(long bytes) {
        held -= bytes;
    }

    /** Bytes held now. */
    long bytes() {
        return held;
    }
}
