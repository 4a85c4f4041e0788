package thistlefall.edge.node;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import thistlefall.lifecycle.ConnectionLimits;
import thistlefall.memory.MemoryBudget;

/**
 * Manages the clients' connections: their number, the memory that they hold, and their end. What is decided of their
 * number is in {@link ConnectionLimits}. Confined to the node's event loop; durations are in nanoseconds.
 */
final class ClientConnectionManager {
    private final ConnectionLimits limits;
    private final MemoryBudget clientMemory;
    private final NodeMetrics metrics;
    private final Set<ClientConnection> openConnections = new HashSet<>();
    /** Connections without a request, the one that has been idle longest first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();
    /**
     * Connections whose output is shut and from which clients may still send; the oldest first. They are not included
     * in the open connections.
     */
    private final Set<ClientConnection> lingeringConnections = new LinkedHashSet<>();

    /** Connections with a request that is received in part, and since when; the one that began first first. */
    private final Map<ClientConnection, Long> incompleteSince = new LinkedHashMap<>();

    /** Connections with responses that their sockets had not accepted when last looked at. */
    private final Set<ClientConnection> connectionsWithUnsentBytes = new HashSet<>();

    private Runnable acceptCapacityListener = () -> {};
    private long openedCount;
    /** Since when no further connection could be accepted, as seen on ticks; 0 if one can. */
    private long fullSince;

    private long lastOpenedAt = System.nanoTime();
    private boolean shutdownAnnounced;
    private boolean draining;

    ClientConnectionManager(int maxConnections, MemoryBudget clientMemory, NodeMetrics metrics) {
        limits = ConnectionLimits.of(maxConnections);
        this.clientMemory = clientMemory;
        this.metrics = metrics;
    }

    /** Sets what is called whenever {@link #acceptCapacity} may have changed. */
    void setAcceptCapacityListener(Runnable listener) {
        acceptCapacityListener = listener;
    }

    /** Returns how many connections may be accepted now. */
    int acceptCapacity() {
        return limits.acceptCapacity(openConnections.size(), lingeringConnections.size());
    }

    /** Returns the number of connections opened since the start. */
    long openedCount() {
        return openedCount;
    }

    /** Registers a new connection; beyond the limit, or while the node drains, its request is refused. */
    void register(ClientConnection connection) {
        lastOpenedAt = System.nanoTime();
        openedCount++;
        if (!limits.mayServe(openConnections.size())) {
            endConnectionAtRest();
        }
        boolean served = !draining && limits.mayServe(openConnections.size());
        openConnections.add(connection);
        if (!served) {
            metrics.connectionsRejected++;
            connection.refuseRequests();
        } else if (shutdownAnnounced) {
            connection.closeAfterNextResponse();
        }
        connectionsChanged();
    }

    /** Ends the connection that has been at rest for longest and has no request in its socket. */
    private void endConnectionAtRest() {
        for (ClientConnection connection : idleConnections) {
            if (!connection.hasUnreadInput()) {
                metrics.idleConnectionsClosed++;
                connection.closeAfterPendingResponses();
                return;
            }
        }
    }

    /** At the limit, closes the connection that has lingered longest and from which nothing lies unread. */
    private void connectionsChanged() {
        if (acceptCapacity() == 0) {
            lingeringConnections.stream()
                    .filter(connection -> !connection.hasUnreadInput())
                    .findFirst()
                    .ifPresent(ClientConnection::close);
        }
        acceptCapacityListener.run();
    }

    /** Returns the budget for everything that clients make the node hold. */
    MemoryBudget clientMemory() {
        return clientMemory;
    }

    /** Keeps the account of a connection up to date until its socket has accepted all responses. */
    void watchUnsentBytes(ClientConnection connection) {
        connectionsWithUnsentBytes.add(connection);
    }

    /** Updates the accounts of clients that are slow to read, and ends a shortage of memory. */
    void onTick() {
        connectionsWithUnsentBytes.removeIf(connection -> {
            connection.memory().update();
            return !connection.memory().hasUnsentBytes();
        });
        clientMemory.setAvailable(DirectMemory.availableForClients());
        relieveMemoryShortage();
        refuseIncompleteAtLimit(System.nanoTime());
    }

    /** If others have waited to be accepted, the connection whose request has been incomplete for longest gives way. */
    private void refuseIncompleteAtLimit(long now) {
        if (acceptCapacity() > 0) {
            fullSince = 0;
        } else if (fullSince == 0) {
            fullSince = now;
        } else {
            longestIncomplete(now).ifPresent(connection -> {
                metrics.incompleteRefusedAtLimit++;
                connection.refuseIncompleteRequestAtLimit();
            });
        }
    }

    /** Returns the connection that has to give way first; the rest of its request does not lie in its socket. */
    private Optional<ClientConnection> longestIncomplete(long now) {
        return incompleteSince.entrySet().stream()
                .takeWhile(entry -> ConnectionLimits.mustGiveWay(now - fullSince, now - entry.getValue()))
                .map(Map.Entry::getKey)
                .filter(connection -> !connection.hasUnreadInput())
                .findFirst();
    }

    /** Marks a connection as one with a request that is received in part, or not. */
    void setIncomplete(ClientConnection connection, boolean isIncomplete) {
        incompleteSince.remove(connection);
        if (isIncomplete) {
            incompleteSince.put(connection, System.nanoTime());
        }
    }

    /** If a connection was denied memory, lets those that hold more than they may give way, the largest first. */
    private void relieveMemoryShortage() {
        if (!clientMemory.takeShortage()) {
            return;
        }
        Stream.concat(openConnections.stream(), lingeringConnections.stream())
                .filter(connection -> connection.memory().account().exceedsThreshold())
                .sorted(Comparator.comparingLong((ClientConnection connection) ->
                                connection.memory().account().held())
                        .reversed())
                .toList()
                .forEach(ClientConnection::giveWay);
    }

    /** Counts a pause of reading from a connection. */
    void countReadingPaused(boolean resumed) {
        metrics.readingPaused += resumed ? 0 : 1;
    }

    /** Counts a connection that gave way to others. */
    void countGaveWay() {
        metrics.connectionsThatGaveWay++;
    }

    /** Returns when the latest connection was opened, by the monotonic clock. */
    long lastOpenedAt() {
        return lastOpenedAt;
    }

    /** Returns the number of connections not yet closed, lingering ones included. */
    int connections() {
        return openConnections.size() + lingeringConnections.size();
    }

    /** Returns the number of connections with a response that is owed or not fully written. */
    int busyConnections() {
        return (int) Stream.concat(openConnections.stream(), lingeringConnections.stream())
                .filter(ClientConnection::isBusy)
                .count();
    }

    /** Whether a shutdown has begun. */
    boolean isShuttingDown() {
        return shutdownAnnounced || draining;
    }

    /** Whether new requests are refused because the node stops. */
    boolean isDraining() {
        return draining;
    }

    /** Tracks a connection whose output is shut and whose client may go on sending for a while. */
    void startLingering(ClientConnection connection) {
        openConnections.remove(connection);
        idleConnections.remove(connection);
        incompleteSince.remove(connection);
        lingeringConnections.add(connection);
        connectionsChanged();
    }

    /** Marks a connection as idle (without a request) or as in use. */
    void setIdle(ClientConnection connection, boolean isIdle) {
        idleConnections.remove(connection);
        if (isIdle) {
            idleConnections.add(connection);
        }
    }

    void connectionClosed(ClientConnection connection) {
        openConnections.remove(connection);
        idleConnections.remove(connection);
        lingeringConnections.remove(connection);
        incompleteSince.remove(connection);
        connectionsWithUnsentBytes.remove(connection);
        connectionsChanged();
    }

    /** Makes all connections, also new ones, close after their next response. */
    void announceShutdown() {
        shutdownAnnounced = true;
        List.copyOf(openConnections).forEach(ClientConnection::closeAfterNextResponse);
    }

    /** Refuses new requests and connections from now on and closes connections after the responses that they owe. */
    void drain() {
        draining = true;
        List.copyOf(openConnections).forEach(ClientConnection::drain);
    }

    /** Refuses the requests that are still incomplete at the end of the drain. */
    void refuseIncompleteRequests() {
        List.copyOf(openConnections).forEach(ClientConnection::refuseIncompleteRequest);
    }

    void close() {
        draining = true;
        List.copyOf(openConnections).forEach(ClientConnection::close);
        List.copyOf(lingeringConnections).forEach(ClientConnection::close);
    }
}
