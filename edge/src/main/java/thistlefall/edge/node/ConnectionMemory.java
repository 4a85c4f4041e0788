package thistlefall.edge.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import thistlefall.memory.MemoryBudget;

/**
 * What one client connection holds of the node's memory for clients: its requests with their attempts, incomplete
 * input, and responses that its socket has not accepted. Confined to the node's event loop; sizes are in bytes.
 */
final class ConnectionMemory {
    private final MemoryBudget budget;
    private final MemoryBudget.Account account;
    private final Channel channel;
    private final RequestPipeline pendingRequests;
    private long undecodedBytes;

    /** Opens the account of a connection. */
    ConnectionMemory(MemoryBudget budget, Channel channel, RequestPipeline pendingRequests) {
        this.budget = budget;
        this.channel = channel;
        this.pendingRequests = pendingRequests;
        account = budget.openAccount();
    }

    /** Returns the connection's account in the budget. */
    MemoryBudget.Account account() {
        return account;
    }

    /** Updates the account after a change of what the connection holds. */
    void update() {
        account.setHeld(undecodedBytes + pendingRequests.heldBytes() + unsentBytes());
    }

    /** Counts the incomplete input that is held now; returns whether there was memory for more of it. */
    boolean tryHoldUndecoded(long bytes) {
        long growth = bytes - undecodedBytes;
        boolean allowed = growth <= 0 || account.tryGrow(growth);
        undecodedBytes = bytes;
        update();
        return allowed;
    }

    /** Returns the size of the responses that the socket has not accepted yet. */
    long unsentBytes() {
        ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
        return outboundBuffer == null ? 0 : outboundBuffer.totalPendingWriteBytes();
    }

    /** Whether the socket has not accepted all responses yet. */
    boolean hasUnsentBytes() {
        return unsentBytes() > 0;
    }

    /** Whether unsent responses alone hold more than a connection may at present. */
    boolean exceedsThresholdByUnsentBytes() {
        return unsentBytes() > budget.threshold();
    }

    /** Returns everything to the budget. */
    void close() {
        account.close();
    }
}
