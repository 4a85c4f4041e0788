package thistlefall.drill;

import java.io.IOException;
import java.io.Writer;
import thistlefall.Ports.Actions;
import thistlefall.Ports.Reason;
import thistlefall.Ports.SendConditions;

/** Writes the actions of gateways as lines of the simulator's protocol, collected until the end of a batch. */
final class WireWriter {
    private final Writer out;
    private final StringBuilder reply = new StringBuilder();

    WireWriter(Writer out) {
        this.out = out;
    }

    /** Returns the actions of one gateway instance. */
    Actions actionsOf(int node) {
        return new NodeActions(node);
    }

    /** Writes out the lines collected for a batch and the end of the reply. */
    void endReply() throws IOException {
        reply.append("yield\n");
        out.append(reply);
        out.flush();
        reply.setLength(0);
    }

    private final class NodeActions implements Actions {
        private final int node;

        NodeActions(int node) {
            this.node = node;
        }

        private StringBuilder startLine(String action) {
            return reply.append(action).append(' ').append(node);
        }

        @Override
        public void send(String id, String server, long timeoutNanos, SendConditions conditions) {
            // The simulator sends at once.
            startLine("try")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(server)
                    .append(' ')
                    .append(timeoutNanos)
                    .append('\n');
        }

        @Override
        public void withdraw(String id) {
            // No attempt waits to be sent.
        }

        @Override
        public void refuse(String id, long retryAfterNanos, Reason reason) {
            startLine("decline")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(retryAfterNanos)
                    .append('\n');
        }

        @Override
        public void fail(String id) {
            startLine("surrender").append(' ').append(id).append('\n');
        }

        @Override
        public void probe(String server) {
            startLine("inspect").append(' ').append(server).append('\n');
        }

        @Override
        public void addToCounter(long name, double amount, long lifetimeNanos) {
            startLine("enter").append(' ').append(lifetimeNanos).append(' ');
            if (amount == Math.rint(amount)) {
                reply.append((long) amount);
            } else {
                reply.append(java.math.BigDecimal.valueOf(amount).toPlainString());
            }
            reply.append(' ').append(name).append('\n');
        }

        @Override
        public void scheduleTimer(long token, long delayNanos) {
            startLine("after")
                    .append(' ')
                    .append(token)
                    .append(' ')
                    .append(delayNanos)
                    .append('\n');
        }

        @Override
        public void subscribeToServerList() {
            startLine("subscribe").append(" 1\n");
        }

        @Override
        public void log(String text) {
            startLine("record").append(' ').append(text).append('\n');
        }
    }
}
