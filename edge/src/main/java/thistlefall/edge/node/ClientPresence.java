package thistlefall.edge.node;

import io.netty.channel.Channel;

/**
 * Knows whether the client of a connection is still there. Nothing may be begun for one that has left, and its close
 * may lie in the kernel behind bytes that the event loop has not come to read. Used on the event loop of the connection
 * only; durations are in nanoseconds.
 */
final class ClientPresence {
    /** What is known of the client. */
    enum State {
        /** It has not closed its side. */
        PRESENT,
        /** It has closed its side, or the connection is broken. */
        LEFT,
        /** Something that it has sent is unread, and its close may lie behind that. */
        UNKNOWN
    }

    /** How long a client counts as present once its socket has been asked; a close must be noticed within 0.1 s. */
    private static final long VALIDITY = 10_000_000L;

    /** A client that is seen sending again after this time has paused in between. */
    private static final long MAX_PAUSE = 1_000_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    private final Channel channel;
    private long presentAt = NEVER;
    private long unknownSince = NEVER;
    /** When the socket last held unread bytes. */
    private long unknownAt;

    /** Creates what is known of the client at the other end of a channel. */
    ClientPresence(Channel channel) {
        this.channel = channel;
    }

    /** Asks the socket, unless it was asked just before. */
    State state() {
        long now = System.nanoTime();
        if (presentAt != NEVER && now - presentAt < VALIDITY) {
            return State.PRESENT;
        }
        return switch (ClientSocketChannel.unreadInput(channel)) {
            case NONE -> {
                presentAt = now;
                unknownSince = NEVER;
                yield State.PRESENT;
            }
            case END -> State.LEFT;
            case BYTES -> {
                boolean continuing = unknownSince != NEVER && now - unknownAt < MAX_PAUSE;
                unknownSince = continuing ? unknownSince : now;
                unknownAt = now;
                yield State.UNKNOWN;
            }
        };
    }

    /** Whether the client has been sending without a pause for longer than this since it was first asked for. */
    boolean isUnknownForLongerThan(long duration) {
        return unknownSince != NEVER && System.nanoTime() - unknownSince > duration;
    }
}
