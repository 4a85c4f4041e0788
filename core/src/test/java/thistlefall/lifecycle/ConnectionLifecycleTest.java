package thistlefall.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks when a connection stops accepting requests, announces its close and shuts its output. */
class ConnectionLifecycleTest {
    private final ConnectionLifecycle lifecycle = new ConnectionLifecycle();

    @Test
    void idleConnectionIsShutAtOnceAndAcceptsNothing() {
        assertTrue(lifecycle.acceptsRequests());
        assertFalse(lifecycle.shouldShutOutput(0), "no close was requested");
        lifecycle.beginClose();
        assertTrue(lifecycle.shouldShutOutput(0));
        assertFalse(lifecycle.acceptsRequests());
        assertFalse(lifecycle.shouldShutOutput(0), "the output is shut only once");
    }

    /** Guards against pipelined requests that are accepted but lost because the output is shut too early. */
    @Test
    void acceptedRequestsAreAnsweredBeforeClose() {
        lifecycle.beginClose();
        assertFalse(lifecycle.shouldShutOutput(2));
        assertTrue(lifecycle.acceptsRequests(), "the close was not announced yet");
        assertFalse(lifecycle.announcesClose(false, 1), "another request is behind this one");
        assertFalse(lifecycle.shouldShutOutput(1));
        assertTrue(lifecycle.announcesClose(false, 0));
        assertTrue(lifecycle.shouldShutOutput(0));
    }

    /** Only a connection that ends without an announcement has to be asked for unread requests. */
    @Test
    void endAtRestIsToldFromAnAnnouncedOne() {
        assertFalse(lifecycle.endsAtRest(0), "no close was requested");
        lifecycle.beginClose();
        assertFalse(lifecycle.endsAtRest(1));
        assertTrue(lifecycle.endsAtRest(0));
        assertTrue(lifecycle.announcesClose(false, 0));
        assertFalse(lifecycle.endsAtRest(0));
    }

    @Test
    void clientsLastRequestEndsTheConnection() {
        lifecycle.noMoreRequests();
        assertFalse(lifecycle.acceptsRequests());
        assertFalse(lifecycle.announcesClose(false, 1));
        assertFalse(lifecycle.shouldShutOutput(1), "responses are still outstanding");
        assertTrue(lifecycle.announcesClose(true, 0));
        assertTrue(lifecycle.shouldShutOutput(0));
    }

    /** An incomplete request leaves the input unreadable, so that no further response is possible. */
    @Test
    void incompleteRequestEndsTheConnectionDespitePipelinedRequests() {
        assertTrue(lifecycle.announcesClose(true, 3));
        assertTrue(lifecycle.shouldShutOutput(3));
        assertFalse(lifecycle.acceptsRequests());
    }
}
